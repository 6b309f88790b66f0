// Package vaultclient is the client of the vault: it carries out on the event loop what calls.Dispatcher decides.
package vaultclient

import (
	"pewterline/internal/decide/calls"
	"pewterline/internal/microtime"
	"pewterline/internal/transport"
)

// MaxConns bounds the descriptors of a client.
const MaxConns = calls.MaxConns

// Loop is what the client needs of the event loop.
type Loop interface {
	Now() microtime.Time
	// Try opens a connection once: open gives its session, or failed says that it came to nothing.
	DialOnce(addr string, open func(transport.Conn) transport.Session, failed func()) (drop func())
}

// CallEnded tells how a call ended. reply is the caller's to keep; only calls.Answered has one.
type CallEnded func(now microtime.Time, id string, outcome calls.Outcome, reply []byte)

// Client makes calls. All its methods are called on the loop. Ended is only called by Check.
type Client struct {
	address  string
	loop     Loop
	ended    CallEnded
	logf     func(format string, args ...any)
	dispatch *calls.Pool
	links    map[calls.ConnID]*link
	drop     func() // gives up the link that is being dialled
	results  []calls.Complete
	reached  bool // the last attempt to open a link did not fail
}

// New returns a client without a link: one is opened for the first call. Attach must follow.
func New(address string, logf func(format string, args ...any)) *Client {
	return &Client{address: address, logf: logf, dispatch: calls.NewPool(), links: map[calls.ConnID]*link{}, reached: true}
}

// Attach ties the client to its loop and to whoever makes the calls.
func (c *Client) Attach(loop Loop, ended CallEnded) { c.loop, c.ended = loop, ended }

// Status is what operators may know of the client.
type Status struct {
	Reachable bool // the last attempt to open a link did not fail
	Links     int
	InFlight  int // in hand
	Waiting   int // of these, for a link
}

// Status tells how the client stands.
func (c *Client) Status() Status {
	links, inHand, waiting := c.dispatch.Counts()
	return Status{Reachable: c.reached, Links: links, InFlight: inHand, Waiting: waiting}
}

// Call is part of routing.Callee.
func (c *Client) Call(request calls.Request) {
	c.forgetResult(request.ID)
	c.dispatch.Call(c.loop.Now(), request)
	c.carryOut()
}

// Abandon is part of routing.Callee.
func (c *Client) Abandon(id string) {
	c.forgetResult(id)
	c.dispatch.Abandon(c.loop.Now(), id)
	c.carryOut()
}

// forgetResult drops the end of a call that nobody waits for any more.
func (c *Client) forgetResult(id string) {
	left := c.results[:0]
	for _, r := range c.results {
		if r.ID != id {
			left = append(left, r)
		}
	}
	c.results = left
}

// SetAddress has new calls go to another address. Those in hand end on the links that they were made on.
func (c *Client) SetAddress(address string) {
	if address == c.address {
		return
	}
	c.address, c.reached = address, true
	c.dispatch.AddressChanged()
	c.carryOut()
}

// Check ends what is due, and tells how calls ended. It is called at the beginning of a turn.
func (c *Client) Check(now microtime.Time) {
	c.dispatch.Expire(now)
	c.carryOut()
	results := c.results
	c.results = nil
	for _, r := range results {
		c.ended(now, r.ID, r.Outcome, r.Reply)
	}
}

// NextDue is when Check has something to do, whatever arrives before that.
func (c *Client) NextDue() microtime.Time {
	if len(c.results) > 0 {
		return c.loop.Now()
	}
	return c.dispatch.NextWakeup()
}

// carryOut does what the dispatcher has decided.
func (c *Client) carryOut() {
	for _, action := range c.dispatch.Actions() {
		switch a := action.(type) {
		case calls.Dial:
			c.dial()
		case calls.Redial:
			c.drop()
			c.dial()
		case calls.Send:
			c.links[a.Conn].ask(a)
		case calls.Abandon:
			c.links[a.Conn].unask(a.ID)
		case calls.Close:
			c.links[a.Conn].conn.Close()
		case calls.Complete:
			c.results = append(c.results, a)
		case calls.ReportSilence:
			c.logf("vault: a link with %d calls has been silent for %v", a.Calls, a.Duration.Duration())
		}
	}
}

func (c *Client) dial() { c.drop = c.loop.DialOnce(c.address, c.opened, c.failed) }

func (c *Client) opened(conn transport.Conn) transport.Session {
	if !c.reached {
		c.logf("vault: %s is reached again", c.address)
	}
	c.reached = true
	l := &link{client: c, conn: conn, id: c.dispatch.Opened(c.loop.Now())}
	c.links[l.id] = l
	c.carryOut()
	return l
}

func (c *Client) failed() {
	if c.reached {
		c.logf("vault: %s is not reached, %d calls wait", c.address, c.Status().Waiting)
	}
	c.reached = false
	c.dispatch.DialFailed()
	c.carryOut()
}
