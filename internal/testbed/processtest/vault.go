package processtest

import (
	"fmt"
	"net"
	"sync"
	"time"

	"pewterline/internal/protocol/vault"
)

// callBuffer is far more than any test waits for; what comes beyond it is not told.
const callBuffer = 1 << 16

// Vault is a vault at an address of its own. The reply to a call is "kept " and the call's body.
type Vault struct {
	address   string
	asked     chan *Call
	abandoned chan string // IDs of calls that the server has given up

	mu         sync.Mutex
	listener   net.Listener // nil: connections are refused
	conns      map[*vaultConn]bool
	lastConn   int
	drawStatus func(*Call) vault.Status // of the replies
	duration   time.Duration            // of a call; 0: it is answered at once
	holdsCalls bool
	calls      []*Call          // all of them, in their order
	open       map[string]*Call // by ID
}

// NewVault opens a vault that answers each call at once. Its goroutines end with Close and with their connections.
func NewVault() (*Vault, error) {
	// A port that no connection gets while connections are refused.
	address, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	v := &Vault{
		address:    address,
		asked:      make(chan *Call, callBuffer),
		abandoned:  make(chan string, callBuffer),
		conns:      map[*vaultConn]bool{},
		drawStatus: func(*Call) vault.Status { return vault.Yes },
		open:       map[string]*Call{},
	}
	return v, v.AcceptConnections()
}

// Addr returns the address that the vault listens on.
func (v *Vault) Addr() string { return v.address }

// Close refuses connections and breaks those that are open.
func (v *Vault) Close() {
	v.RejectConnections()
	v.Break()
}

// RejectConnections has connections refused from now on; those that are open go on.
func (v *Vault) RejectConnections() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.listener != nil {
		// Only a listener that is closed already fails to close.
		_ = v.listener.Close()
		v.listener = nil
	}
}

// Break breaks all connections, with the calls that are open on them.
func (v *Vault) Break() {
	v.mu.Lock()
	defer v.mu.Unlock()
	for conn := range v.conns {
		conn.close()
	}
}

// AcceptConnections has connections accepted again, at the same address, where they are refused.
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

// Hold has calls wait from now on for Reply, or for Release.
func (v *Vault) Hold() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.holdsCalls = true
}

// Release answers all calls that wait, and those to come at once.
func (v *Vault) Release() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.holdsCalls = false
	for _, call := range v.open {
		v.answer(call)
	}
}

// Slow has each call from now on take a while.
func (v *Vault) Slow(duration time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.duration = duration
}

// AnswerWith sets how the statuses of the replies are drawn from now on.
func (v *Vault) AnswerWith(drawStatus func(*Call) vault.Status) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.drawStatus = drawStatus
}

// NextCall waits for the next call.
func (v *Vault) NextCall() (*Call, error) { return receive(v.asked, "a call to the vault") }

// NextAbandoned waits until the server gives up a call, and returns its ID.
func (v *Vault) NextAbandoned() (id string, err error) {
	return receive(v.abandoned, "the server to give up a call")
}

// Calls returns copies of all calls that have come, in their order.
func (v *Vault) Calls() (calls []Call) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, call := range v.calls {
		calls = append(calls, *call)
	}
	return calls
}

// answer ends a call that is open.
func (v *Vault) answer(call *Call) {
	if v.open[call.ID] == call {
		v.reply(call, v.drawStatus(call), fmt.Sprintf("kept %s", call.Body))
	}
}

func (v *Vault) reply(call *Call, status vault.Status, body string) {
	if v.open[call.ID] == call {
		delete(v.open, call.ID)
	}
	call.Status = status
	sendTo(call.conn.conn, vault.AppendReply(nil, call.ID, status, []byte(body)))
}
