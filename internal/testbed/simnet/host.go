package simnet

import (
	"errors"
	"fmt"
	"math/rand/v2"

	"pewterline/internal/microtime"
	"pewterline/internal/transport"
)

// tasksMost is how many queued tasks a turn runs before it looks at connections again.
const tasksMost = 256

var errEnded = errors.New("virtual: the loop has ended")

// Cost is what a turn takes of a host's processor. Whatever becomes ready meanwhile waits for the next turn.
type Cost struct {
	Turn microtime.Time
	KB   microtime.Time // for each 1024 bytes read or written
}

// Host is a transport.Driver on a node: it runs one program until Stop or Kill.
type Host struct {
	node    *Node
	life    int
	loop    *transport.Loop
	rng     *rand.Rand
	cost    Cost
	ready   []*hostConn
	tasks   []func()
	woken   *Timer
	next    *Timer // the turn to come
	busy    microtime.Time
	paused  microtime.Time
	bytes   int
	inTurn  bool
	killIn  int // calls into the program, and writes of it, until it is killed; 0: never
	onKill  func()
	peer    string // of datagrams
	Ended   bool
	OnStop  func() // the program has ended of itself
	listens map[int]*Listener
	turns   uint64
	refused func(string, ...any)
}

// hostConn is one connection of a host's program.
type hostConn struct {
	h      *Host
	e      *Stream
	conn   *transport.Connection
	queued bool
}

// NewHost returns a host on a node that has been booted; the program is Loop's to begin.
func NewHost(n *Node, o transport.Options, h transport.Handler, rng *rand.Rand, cost Cost, begin func(*transport.Loop)) *Host {
	host := &Host{node: n, life: n.Incarnation, rng: rng, cost: cost, refused: o.Logf, listens: map[int]*Listener{}}
	host.loop = transport.New(o, host, h, begin)
	host.tasks = append(host.tasks, host.loop.Begin)
	host.wakeTurn()
	return host
}

// Loop is the program's loop.
func (h *Host) Loop() *transport.Loop { return h.loop }

// Turns counts the turns so far.
func (h *Host) Turns() uint64 { return h.turns }

// Listen opens an address as the listener of that index.
func (h *Host) Listen(addr string, index int) error {
	l, err := h.node.Listen(addr, Listener{host: h, index: index})
	h.listens[index] = l
	return err
}

// Pause has the program stand still until a time; its machine goes on taking what arrives.
func (h *Host) Pause(until microtime.Time) {
	h.busy, h.paused = max(h.busy, until), max(h.paused, until)
}

// PausedUntil is when it goes on; a past time where it does not stand still.
func (h *Host) PausedUntil() microtime.Time { return h.paused }

// KillIn has the process killed after so many further calls into the program or writes of it, in the middle of
// whatever it does then; done is called at that moment.
func (h *Host) KillIn(calls int, done func()) { h.killIn, h.onKill = max(calls, 1), done }

// Kill ends the process at once, or with its machine.
func (h *Host) Kill(machine bool) {
	if h.Ended {
		return
	}
	h.Ended = true
	h.woken.Stop()
	h.next.Stop()
	h.tasks, h.ready = nil, nil
	h.node.Kill(machine)
}

// op counts one call; false: the process is gone, and what the program does from here on has no effect.
func (h *Host) op() bool {
	if h.Ended {
		return false
	}
	if h.killIn > 0 {
		if h.killIn--; h.killIn == 0 {
			h.Kill(false)
			h.onKill()
			return false
		}
	}
	return true
}

func (h *Host) wakeTurn() {
	if h.Ended || h.next != nil || h.inTurn {
		return
	}
	w := h.node.net.w
	h.next = w.At(max(w.now, h.busy), h.turn)
}

// turn is one round of the poller: first what is ready, then the tasks that were queued.
func (h *Host) turn() {
	w := h.node.net.w
	h.next = nil
	if h.busy > w.now { // paused since this turn was planned
		h.wakeTurn()
		return
	}
	h.inTurn, h.bytes = true, 0
	h.turns++
	ready := h.ready
	h.ready = nil
	for _, c := range ready {
		c.queued = false
		c.take()
	}
	for n := 0; n < tasksMost && len(h.tasks) > 0; n++ {
		f := h.tasks[0]
		h.tasks = h.tasks[1:]
		if !h.op() {
			break
		}
		f()
	}
	h.inTurn = false
	h.busy = max(h.busy, w.now+h.cost.Turn+h.cost.KB*microtime.Time(h.bytes)/1024)
	if len(h.ready)+len(h.tasks) > 0 {
		h.wakeTurn()
	}
}

func (c *hostConn) rouse() {
	if c.queued || c.h.Ended || c.conn == nil {
		return
	}
	c.queued = true
	c.h.ready = append(c.h.ready, c)
	c.h.wakeTurn()
}

const readMost = 64 << 10

// take hands what has arrived to the program, and its end after it.
func (c *hostConn) take() {
	h, e := c.h, c.e
	if !e.open || !h.op() {
		return
	}
	if e.reset {
		c.Close()
		return
	}
	if n := min(len(e.unread), readMost); n > 0 {
		in := e.unread[:n:n]
		e.unread = e.unread[n:]
		h.bytes += n
		ok := c.conn.Received(in)
		if len(e.unread) == 0 {
			e.unread = nil
		}
		if !e.open {
			return
		}
		e.took(n)
		if !ok {
			c.Close()
			return
		}
		if len(e.unread) > 0 {
			c.rouse()
			return
		}
	}
	if e.eof { // gnet closes what its peer has half closed
		c.Close()
	}
}

// accept takes up a connection to one of the listeners, in a turn.
func (h *Host) accept(l *Listener, e *Stream) {
	c := &hostConn{h: h, e: e}
	e.host = c
	_ = h.Queue(func() {
		if !e.open {
			return
		}
		c.conn = h.loop.Accept(c, l.index)
		c.opened()
	})
}

func (c *hostConn) opened() {
	if c.conn == nil {
		c.e.Close()
		return
	}
	if len(c.e.unread) > 0 || c.e.eof || c.e.reset {
		c.rouse()
	}
}

// Write is part of transport.Wire.
func (c *hostConn) Write(p []byte) error {
	if !c.h.op() || !c.e.open || c.e.reset {
		if !c.h.Ended {
			c.Close()
		}
		return errEnded
	}
	c.h.bytes += len(p)
	c.e.Write(p)
	return nil
}

// Unsent is part of transport.Wire.
func (c *hostConn) Unsent() int { return c.e.Unsent() }

// CloseWrite is part of transport.Wire.
func (c *hostConn) CloseWrite() {
	if !c.h.Ended && c.e.Unsent() == 0 {
		c.e.CloseWrite()
	}
}

// Close is part of transport.Wire.
func (c *hostConn) Close() {
	if c.h.Ended {
		return
	}
	c.e.Close()
	c.conn.Ended()
}

// Remote is part of transport.Wire.
func (c *hostConn) Remote() string { return fmt.Sprintf("%s#%d", c.e.Peer(), c.e.conn) }

// Now is part of transport.Driver.
func (h *Host) Now() microtime.Time { return h.node.net.w.now }

// Queue is part of transport.Driver.
func (h *Host) Queue(f func()) error {
	if h.Ended {
		return errEnded
	}
	h.tasks = append(h.tasks, f)
	h.wakeTurn()
	return nil
}

// SetTimer is part of transport.Driver.
func (h *Host) SetTimer(at microtime.Time) {
	h.woken.Stop()
	h.woken = nil
	if at != microtime.Never && !h.Ended {
		h.woken = h.node.net.w.At(at, func() { _ = h.Queue(h.loop.TimerFired) })
	}
}

// Dial is part of transport.Driver.
func (h *Host) Dial(d *transport.Dial) {
	if h.Ended {
		return
	}
	h.node.Dial(d.Addr(), func(e *Stream, err error) {
		if err != nil {
			_ = h.Queue(func() { h.loop.DialFailed(d) })
			return
		}
		c := &hostConn{h: h, e: e}
		e.host = c
		_ = h.Queue(func() {
			c.conn = h.loop.Connected(d, c)
			c.opened()
		})
	})
}

// SetDatagramPeer is part of transport.Driver.
func (h *Host) SetDatagramPeer(addr string) error {
	h.peer = addr
	return nil
}

// SendDatagram is part of transport.Driver.
func (h *Host) SendDatagram(p []byte) {
	if h.peer != "" && h.op() {
		h.node.SendDatagram(h.peer, p)
	}
}

// Rand is part of transport.Driver.
func (h *Host) Rand() uint64 { return h.rng.Uint64() }

// CloseListener is part of transport.Driver. Who waits is a task ahead of done.
func (h *Host) CloseListener(listener int, done func()) {
	if l := h.listens[listener]; l != nil {
		l.Close()
	}
	_ = h.Queue(done)
}

// Stop is part of transport.Driver: the process ends of itself. Its sockets are closed as a process's are.
func (h *Host) Stop() {
	if h.Ended {
		return
	}
	h.Kill(false)
	if h.OnStop != nil {
		h.OnStop()
	}
}
