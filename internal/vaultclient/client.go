// Package vaultclient is the client of the vault, the service that runs call. Package server creates it, and package
// dispatch makes calls by it. It carries out on the event loop what calls.Pool decides: it opens and closes
// connections, writes calls and reads replies. It owns the connections and the ends of calls that were not reported
// yet; it decides nothing about calls and never repeats one.
package vaultclient

import (
	"slices"

	"pewterline/internal/decide/calls"
	"pewterline/internal/microtime"
	"pewterline/internal/transport"
)

// MaxConns limits the descriptors of a client.
const MaxConns = calls.MaxConns

// EventLoop is what the client needs of the event loop.
type EventLoop interface {
	Now() microtime.Time
	// DialOnce tries once to open a connection: open gives its session, or failed reports the failure.
	DialOnce(addr string, open func(transport.Conn) transport.Session, failed func()) (drop func())
}

// CallEnded reports how a call ended. The reply is the callee's to keep; only calls.Answered has one.
type CallEnded func(now microtime.Time, id string, outcome calls.Outcome, reply []byte)

// Client makes calls. All its methods are called on the loop. CallEnded is only called by Check.
type Client struct {
	address    string
	loop       EventLoop
	callEnded  CallEnded
	logf       func(format string, args ...any)
	pool       *calls.Pool
	conns      map[calls.ConnID]*connection
	cancelDial func()           // gives up the connection that was dialled last
	ended      []calls.Complete // calls whose ends are to be reported
	reachable  bool             // the last attempt to open a connection did not fail
}

// New returns a client without a connection: one is opened for the first call. Attach must follow.
func New(address string, logf func(format string, args ...any)) *Client {
	return &Client{
		address:   address,
		logf:      logf,
		pool:      calls.NewPool(),
		conns:     map[calls.ConnID]*connection{},
		reachable: true,
	}
}

// Attach ties the client to its loop and to the caller.
func (c *Client) Attach(loop EventLoop, callEnded CallEnded) { c.loop, c.callEnded = loop, callEnded }

// Status is what operators may know of the client.
type Status struct {
	Reachable   bool // the last attempt to open a connection did not fail
	Connections int
	InFlight    int // calls
	Waiting     int // of these, for a connection
}

// Status returns the state of the client.
func (c *Client) Status() Status {
	conns, inFlight, waiting := c.pool.Counts()
	return Status{Reachable: c.reachable, Connections: conns, InFlight: inFlight, Waiting: waiting}
}

// Call is part of dispatch.Downstream.
func (c *Client) Call(request calls.Request) {
	c.forgetEnd(request.ID)
	c.pool.Call(c.loop.Now(), request)
	c.carryOut()
}

// Abandon is part of dispatch.Downstream.
func (c *Client) Abandon(id string) {
	c.forgetEnd(id)
	c.pool.Abandon(c.loop.Now(), id)
	c.carryOut()
}

// forgetEnd drops the end of a call that is not waited for any more.
func (c *Client) forgetEnd(id string) {
	c.ended = slices.DeleteFunc(c.ended, func(end calls.Complete) bool { return end.ID == id })
}

// SetAddress has new calls go to another address. Calls in flight end on the connections that they were made on.
func (c *Client) SetAddress(address string) {
	if address == c.address {
		return
	}
	c.address, c.reachable = address, true
	c.pool.AddressChanged()
	c.carryOut()
}

// Check ends the calls whose time is over, and reports how calls ended. It is called at the beginning of a turn.
func (c *Client) Check(now microtime.Time) {
	c.pool.Expire(now)
	c.carryOut()
	ended := c.ended
	c.ended = nil
	for _, end := range ended {
		c.callEnded(now, end.ID, end.Outcome, end.Reply)
	}
}

// NextDue returns when Check has something to do, whatever arrives before that.
func (c *Client) NextDue() microtime.Time {
	if len(c.ended) > 0 {
		return c.loop.Now()
	}
	return c.pool.NextWakeup()
}

// carryOut does what the pool has decided.
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
			c.ended = append(c.ended, action)
		case calls.ReportSilence:
			c.logf("vault: a connection with %d calls has been silent for %v", action.Calls, action.Duration.Duration())
		}
	}
}

func (c *Client) dial() { c.cancelDial = c.loop.DialOnce(c.address, c.opened, c.dialFailed) }

// opened takes a connection that was dialled.
func (c *Client) opened(conn transport.Conn) transport.Session {
	if !c.reachable {
		c.logf("vault: %s is reachable again", c.address)
	}
	c.reachable = true
	opened := &connection{client: c, conn: conn, id: c.pool.Opened(c.loop.Now())}
	c.conns[opened.id] = opened
	c.carryOut()
	return opened
}

// dialFailed takes the failure of a dial.
func (c *Client) dialFailed() {
	if c.reachable {
		c.logf("vault: %s is not reachable, %d calls wait", c.address, c.Status().Waiting)
	}
	c.reachable = false
	c.pool.DialFailed()
	c.carryOut()
}
