// Package vaultclient is the client of the vault, the service that runs make calls to. Package server creates it, and
// package dispatch makes calls through it. It carries out the decisions of calls.Pool on the event loop: it opens and
// closes connections, writes calls and reads replies. It owns the connections and the outcomes of calls that have not
// been reported yet. All decisions about calls are made by calls.Pool, and no call is ever repeated.
package vaultclient

import (
	"slices"

	"pewterline/internal/decide/calls"
	"pewterline/internal/microtime"
	"pewterline/internal/transport"
)

// MaxConns is the maximum number of connections, and so of file descriptors, of a client.
const MaxConns = calls.MaxConns

// EventLoop is what the client needs from the event loop.
type EventLoop interface {
	Now() microtime.Time
	// DialOnce tries once to open a connection. Either open is called and returns the connection's session, or failed is
	// called. The returned function cancels the dial.
	DialOnce(addr string, open func(transport.Conn) transport.Session, failed func()) (cancel func())
}

// CallEnded is called with the outcome of a call. Only calls.Answered has a reply, which the callback may retain.
type CallEnded func(now microtime.Time, id string, outcome calls.Outcome, reply []byte)

// Client makes calls to the vault. All its methods must be called on the event loop. CallEnded is only called by Check.
type Client struct {
	address    string
	loop       EventLoop
	callEnded  CallEnded
	logf       func(format string, args ...any)
	pool       *calls.Pool
	conns      map[calls.ConnID]*connection
	cancelDial func()           // cancels the most recent dial
	unreported []calls.Complete // outcomes that the next Check reports
	reachable  bool             // false: the last dial to the current address failed
}

// New returns a client without a connection: one is opened for the first call. Attach must be called before any other
// method.
func New(address string, logf func(format string, args ...any)) *Client {
	return &Client{
		address:   address,
		logf:      logf,
		pool:      calls.NewPool(),
		conns:     map[calls.ConnID]*connection{},
		reachable: true,
	}
}

// Attach sets the event loop of the client, and the callback that reports the outcomes of calls.
func (c *Client) Attach(loop EventLoop, callEnded CallEnded) { c.loop, c.callEnded = loop, callEnded }

// Status is the state of the client, for operators.
type Status struct {
	Reachable   bool // false: the last dial to the current address failed
	Connections int
	InFlight    int // calls that have not ended
	Waiting     int // of these, calls that wait for a connection
}

// Status returns the state of the client.
func (c *Client) Status() Status {
	conns, inFlight, waiting := c.pool.Counts()
	return Status{Reachable: c.reachable, Connections: conns, InFlight: inFlight, Waiting: waiting}
}

// Call implements dispatch.Downstream.
func (c *Client) Call(request calls.Request) {
	c.dropUnreported(request.ID)
	c.pool.Call(c.loop.Now(), request)
	c.carryOut()
}

// Abandon implements dispatch.Downstream.
func (c *Client) Abandon(id string) {
	c.dropUnreported(id)
	c.pool.Abandon(c.loop.Now(), id)
	c.carryOut()
}

// dropUnreported drops the unreported outcome of a call that is abandoned or whose ID is reused.
func (c *Client) dropUnreported(id string) {
	c.unreported = slices.DeleteFunc(c.unreported, func(end calls.Complete) bool { return end.ID == id })
}

// SetAddress changes the address for new calls. Calls in flight stay on their connections.
func (c *Client) SetAddress(address string) {
	if address == c.address {
		return
	}
	c.address, c.reachable = address, true
	c.pool.AddressChanged()
	c.carryOut()
}

// Check ends the calls that have timed out, and reports the outcomes of all ended calls. It is called in each turn of
// the event loop, before the step of the core.
func (c *Client) Check(now microtime.Time) {
	c.pool.Expire(now)
	c.carryOut()
	unreported := c.unreported
	c.unreported = nil
	for _, end := range unreported {
		c.callEnded(now, end.ID, end.Outcome, end.Reply)
	}
}

// NextDue returns when Check has to be called next.
func (c *Client) NextDue() microtime.Time {
	if len(c.unreported) > 0 {
		return c.loop.Now()
	}
	return c.pool.NextWakeup()
}

// carryOut performs the actions that the pool has decided on.
func (c *Client) carryOut() {
	for _, action := range c.pool.Actions() {
		switch action := action.(type) {
		case calls.Dial:
			c.dial()
		case calls.Redial:
			c.cancelDial()
			c.dial()
		case calls.Send:
			c.conns[action.Conn].call(action)
		case calls.Abandon:
			c.conns[action.Conn].abandon(action.ID)
		case calls.Close:
			c.conns[action.Conn].conn.Close()
		case calls.Complete:
			c.unreported = append(c.unreported, action)
		case calls.ReportSilence:
			c.logf("vault: connection is silent: calls=%d duration=%v", action.Calls, action.Duration.Duration())
		}
	}
}

func (c *Client) dial() { c.cancelDial = c.loop.DialOnce(c.address, c.opened, c.dialFailed) }

// opened handles the success of a dial.
func (c *Client) opened(conn transport.Conn) transport.Session {
	if !c.reachable {
		c.logf("vault: reachable again: address=%s", c.address)
	}
	c.reachable = true
	opened := &connection{client: c, conn: conn, id: c.pool.Opened(c.loop.Now())}
	c.conns[opened.id] = opened
	c.carryOut()
	return opened
}

// dialFailed handles the failure of a dial.
func (c *Client) dialFailed() {
	if c.reachable {
		c.logf("vault: not reachable: address=%s waiting_calls=%d", c.address, c.Status().Waiting)
	}
	c.reachable = false
	c.pool.DialFailed()
	c.carryOut()
}
