package processtest

import (
	"fmt"
	"net"
	"sync"
	"time"

	"pewterline/internal/protocol/vault"
)

// callBufferSize exceeds the number of calls that any test awaits. Events beyond it are discarded.
const callBufferSize = 1 << 16

// Vault is a vault that listens on an address of its own. The reply to a call is "kept " and the call's body.
type Vault struct {
	address   string
	received  chan *Call
	abandoned chan string // IDs of calls that the server has abandoned

	mu           sync.Mutex
	listener     net.Listener // nil: connections are refused
	conns        map[*vaultConn]bool
	lastConn     int
	chooseStatus func(*Call) vault.Status // of the reply to a call
	duration     time.Duration            // of a call; 0: calls are answered at once
	holdsCalls   bool
	calls        []*Call          // all calls received, in order
	openCalls    map[string]*Call // not answered yet, by ID
}

// NewVault opens a vault that answers each call at once. Close ends its goroutines.
func NewVault() (*Vault, error) {
	// A port from FreeAddress stays reserved for the vault while its listener is closed.
	address, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	v := &Vault{
		address:      address,
		received:     make(chan *Call, callBufferSize),
		abandoned:    make(chan string, callBufferSize),
		conns:        map[*vaultConn]bool{},
		chooseStatus: func(*Call) vault.Status { return vault.Yes },
		openCalls:    map[string]*Call{},
	}
	return v, v.AcceptConnections()
}

// Addr returns the address that the vault listens on.
func (v *Vault) Addr() string { return v.address }

// Close refuses new connections and closes the open ones.
func (v *Vault) Close() {
	v.RejectConnections()
	v.CloseConnections()
}

// RejectConnections refuses new connections from now on. Open connections are not affected.
func (v *Vault) RejectConnections() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.listener != nil {
		// A failure needs no handling: it means that the listener is closed already.
		_ = v.listener.Close()
		v.listener = nil
	}
}

// CloseConnections closes all connections. The open calls on them get no reply.
func (v *Vault) CloseConnections() {
	v.mu.Lock()
	defer v.mu.Unlock()
	for conn := range v.conns {
		conn.close()
	}
}

// AcceptConnections accepts connections again, at the same address, after RejectConnections.
func (v *Vault) AcceptConnections() error {
	v.mu.Lock()
	accepting := v.listener != nil
	v.mu.Unlock()
	if accepting {
		return nil
	}
	listener, err := net.Listen("tcp", v.address)
	if err != nil {
		return err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.listener = listener
	// The vault owns this goroutine, which ends with the listener: RejectConnections or Close closes it.
	go v.accept(listener)
	return nil
}

// Hold leaves calls unanswered from now on, until Call.Reply or Release.
func (v *Vault) Hold() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.holdsCalls = true
}

// Release answers all open calls and ends the effect of Hold.
func (v *Vault) Release() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.holdsCalls = false
	for _, call := range v.openCalls {
		v.answer(call)
	}
}

// SetCallDuration sets the time from a call to its reply from now on.
func (v *Vault) SetCallDuration(duration time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.duration = duration
}

// SetReplyStatus sets the function that chooses the status of each reply from now on.
func (v *Vault) SetReplyStatus(chooseStatus func(*Call) vault.Status) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.chooseStatus = chooseStatus
}

// NextCall waits for the next call.
func (v *Vault) NextCall() (*Call, error) { return receive(v.received, "a call to the vault") }

// NextAbandonedCall waits until the server abandons a call, and returns its ID.
func (v *Vault) NextAbandonedCall() (id string, err error) {
	return receive(v.abandoned, "an abandoned call to the vault")
}

// Calls returns copies of all calls received, in order.
func (v *Vault) Calls() (calls []Call) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, call := range v.calls {
		calls = append(calls, *call)
	}
	return calls
}

// answer replies to a call if it is still open.
func (v *Vault) answer(call *Call) {
	if v.openCalls[call.ID] == call {
		v.reply(call, v.chooseStatus(call), fmt.Sprintf("kept %s", call.Body))
	}
}

func (v *Vault) reply(call *Call, status vault.Status, body string) {
	if v.openCalls[call.ID] == call {
		delete(v.openCalls, call.ID)
	}
	call.Status = status
	sendTo(call.conn.conn, vault.AppendReply(nil, call.ID, status, []byte(body)))
}
