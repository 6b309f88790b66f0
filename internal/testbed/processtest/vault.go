package processtest

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"pewterline/internal/protocol/vault"
)

// vaultIdle is how long the vault keeps a connection on which no call is open.
const vaultIdle = 10 * time.Second

// Vault is a vault at one address. The reply to a call is "kept " and its body.
type Vault struct {
	addr   string
	mu     sync.Mutex
	ln     net.Listener // nil: connections are refused
	conns  map[*vaultConn]bool
	lastID int
	status func(*Call) vault.Status
	took   time.Duration
	hold   bool
	made   []*Call          // all of them, in their order
	open   map[string]*Call // by ID
	asked  chan *Call
	given  chan string // IDs of calls that were given up by unask
}

// vaultConn is one connection to the vault.
type vaultConn struct {
	number int
	link   net.Conn
}

// Call is one call that the vault was asked for.
type Call struct {
	ID, Body  string
	TimeoutMS int          // how long the log server waits
	Conn      int          // the number of its connection
	Status    vault.Status // the reply; 0: none. Of calls that Calls has returned
	vault     *Vault
	on        *vaultConn
}

// NewVault opens a vault that answers each call at once.
func NewVault() (*Vault, error) {
	addr, err := FreeAddress() // a port that no connection gets while connections are refused
	if err != nil {
		return nil, err
	}
	v := &Vault{addr: addr, conns: map[*vaultConn]bool{}, status: func(*Call) vault.Status { return vault.Yes }, open: map[string]*Call{},
		asked: make(chan *Call, 1<<16), given: make(chan string, 1<<16)}
	return v, v.AcceptConnections()
}

// Addr is where it listens.
func (v *Vault) Addr() string { return v.addr }

// Close ends it.
func (v *Vault) Close() {
	v.RejectConnections()
	v.Break()
}

// RejectConnections has connections refused from now on; those that are open go on.
func (v *Vault) RejectConnections() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.ln != nil {
		_ = v.ln.Close()
		v.ln = nil
	}
}

// Break breaks all connections, with the calls that are open on them.
func (v *Vault) Break() {
	v.mu.Lock()
	defer v.mu.Unlock()
	for c := range v.conns {
		_ = c.link.Close()
	}
}

// AcceptConnections has connections accepted again, at the same address, where they are refused.
func (v *Vault) AcceptConnections() error {
	v.mu.Lock()
	listens := v.ln != nil
	v.mu.Unlock()
	if listens {
		return nil
	}
	ln, err := net.Listen("tcp", v.addr)
	if err != nil {
		return err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.ln = ln
	go v.accept(ln)
	return nil
}

// Hold has calls wait from now on for Reply, or for Release.
func (v *Vault) Hold() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.hold = true
}

// Release answers all calls that wait, and those to come at once.
func (v *Vault) Release() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.hold = false
	for _, c := range v.open {
		v.answer(c)
	}
}

// Slow has each call from now on take a while.
func (v *Vault) Slow(took time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.took = took
}

// AnswerWith sets how the replies from now on are drawn.
func (v *Vault) AnswerWith(status func(*Call) vault.Status) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.status = status
}

// NextCall is the next call.
func (v *Vault) NextCall() (*Call, error) { return await(v.asked, "a call") }

// NextAbandoned is the ID of the next call that is given up.
func (v *Vault) NextAbandoned() (string, error) { return await(v.given, "the end of a call") }

// Calls are all calls that have come, in their order.
func (v *Vault) Calls() (out []Call) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, c := range v.made {
		out = append(out, *c)
	}
	return out
}

// Reply answers a call on its connection, even one that was given up: such a reply has crossed the end of its call.
func (c *Call) Reply(s vault.Status, body string) {
	c.vault.mu.Lock()
	defer c.vault.mu.Unlock()
	c.vault.reply(c, s, body)
}

// BreakReply breaks the connection of a call in the middle of its reply.
func (c *Call) BreakReply() {
	c.vault.mu.Lock()
	defer c.vault.mu.Unlock()
	reply := vault.AppendReply(nil, c.ID, vault.Yes, []byte(c.Body))
	_, _ = c.on.link.Write(reply[:len(reply)-3]) // without the end of the body and its line end
	_ = c.on.link.Close()
}

// CloseConn closes the connection of a call, and returns once the log server has closed it as well: all that was sent on it has
// been read by then.
func (c *Call) CloseConn() error {
	tcp, ok := c.on.link.(*net.TCPConn)
	if !ok {
		return errors.New("procs: no TCP connection")
	}
	if err := tcp.CloseWrite(); err != nil {
		return err
	}
	for until := time.Now().Add(Patience); time.Now().Before(until); time.Sleep(time.Millisecond) {
		c.vault.mu.Lock()
		over := !c.vault.conns[c.on]
		c.vault.mu.Unlock()
		if over {
			return nil
		}
	}
	return errors.New("procs: the log server keeps a connection that the vault has closed")
}

func (v *Vault) accept(ln net.Listener) {
	for {
		link, err := ln.Accept()
		if err != nil {
			return
		}
		v.mu.Lock()
		v.lastID++
		c := &vaultConn{v.lastID, link}
		v.conns[c] = true
		v.mu.Unlock()
		go v.serve(c)
	}
}

// serve reads a connection's commands to its end, which gives up every call on it.
func (v *Vault) serve(c *vaultConn) {
	defer v.ended(c)
	var buf []byte
	more := make([]byte, 64<<10)
	for {
		k, n, err := vault.ParseCommand(buf)
		if err != nil {
			return
		}
		if n > 0 {
			v.obey(c, k)
			buf = buf[n:]
			continue
		}
		if c.link.SetReadDeadline(time.Now().Add(vaultIdle)) != nil {
			return
		}
		got, err := c.link.Read(more)
		if errors.Is(err, os.ErrDeadlineExceeded) && v.busy(c) {
			continue
		}
		if err != nil {
			return
		}
		buf = append(buf, more[:got]...)
	}
}

func (v *Vault) ended(c *vaultConn) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.conns, c)
	for id, k := range v.open {
		if k.on == c {
			delete(v.open, id)
		}
	}
	_ = c.link.Close()
}

// busy says that a call is open on a connection.
func (v *Vault) busy(c *vaultConn) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, k := range v.open {
		if k.on == c {
			return true
		}
	}
	return false
}

func (v *Vault) obey(c *vaultConn, k vault.Command) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if k.Verb == vault.Unask {
		delete(v.open, k.ID)
		select {
		case v.given <- k.ID:
		default: // nobody waits for so many
		}
		return
	}
	call := &Call{ID: k.ID, Body: string(k.Body), TimeoutMS: k.WaitMS, Conn: c.number, vault: v, on: c}
	v.made = append(v.made, call)
	v.open[k.ID] = call // a second call of a request gives up the first
	select {
	case v.asked <- call:
	default: // nobody waits for so many
	}
	switch {
	case v.hold:
	case v.took > 0:
		time.AfterFunc(v.took, func() {
			v.mu.Lock()
			defer v.mu.Unlock()
			v.answer(call)
		})
	default:
		v.answer(call)
	}
}

// answer ends a call that is open.
func (v *Vault) answer(c *Call) {
	if v.open[c.ID] == c {
		v.reply(c, v.status(c), fmt.Sprintf("kept %s", c.Body))
	}
}

func (v *Vault) reply(c *Call, s vault.Status, body string) {
	if v.open[c.ID] == c {
		delete(v.open, c.ID)
	}
	c.Status = s
	_, _ = c.on.link.Write(vault.AppendReply(nil, c.ID, s, []byte(body)))
}
