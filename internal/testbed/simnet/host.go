package simnet

import (
	"errors"
	"math/rand/v2"

	"pewterline/internal/microtime"
	"pewterline/internal/transport"
)

// maxTasksPerTurn is how many queued tasks a turn runs before it looks at connections again.
const maxTasksPerTurn = 256

var errEnded = errors.New("simnet: the loop has ended")

// Cost is what a turn takes of a host's processor. Whatever becomes ready meanwhile waits for the next turn.
type Cost struct {
	Turn microtime.Time
	KB   microtime.Time // for each 1024 bytes read or written
}

// Host is a transport.Driver on a node: it runs one program until Stop or Kill.
type Host struct {
	node           *Node
	incarnation    int
	loop           *transport.Loop
	rng            *rand.Rand
	cost           Cost
	ready          []*hostConn
	tasks          []func()
	wakeTimer      *Timer
	turnTimer      *Timer // the turn to come
	busyUntil      microtime.Time
	pausedUntil    microtime.Time
	bytes          int
	inTurn         bool
	callsUntilKill int // calls into the program, and writes of it, until it is killed; 0: never
	onKill         func()
	datagramPeer   string // of datagrams
	Ended          bool
	OnStop         func() // the program has ended of itself
	listeners      map[int]*Listener
	turns          uint64
}

// HostConfig is what a host runs.
type HostConfig struct {
	Options transport.Options
	Handler transport.Handler
	Begin   func(*transport.Loop) // is called first, on the loop
	Rand    *rand.Rand
	Cost    Cost
}

// NewHost returns a host on a node that has been booted; the program is Loop's to begin.
func NewHost(node *Node, config HostConfig) *Host {
	host := &Host{
		node:        node,
		incarnation: node.Incarnation,
		rng:         config.Rand,
		cost:        config.Cost,
		listeners:   map[int]*Listener{},
	}
	host.loop = transport.New(config.Options, host, config.Handler, config.Begin)
	host.tasks = append(host.tasks, host.loop.Begin)
	host.scheduleTurn()
	return host
}

// Loop is the program's loop.
func (h *Host) Loop() *transport.Loop { return h.loop }

// Turns counts the turns so far.
func (h *Host) Turns() uint64 { return h.turns }

// Listen opens an address as the listener of that index.
func (h *Host) Listen(addr string, index int) error {
	l, err := h.node.Listen(addr, Listener{host: h, index: index})
	h.listeners[index] = l
	return err
}

// Pause has the program stand still until a time; its machine goes on taking what arrives.
func (h *Host) Pause(until microtime.Time) {
	h.busyUntil, h.pausedUntil = max(h.busyUntil, until), max(h.pausedUntil, until)
}

// PausedUntil is when it goes on; a past time where it does not stand still.
func (h *Host) PausedUntil() microtime.Time { return h.pausedUntil }

// KillIn has the process killed after so many further calls into the program or writes of it, in the middle of
// whatever it does then; done is called at that moment.
func (h *Host) KillIn(calls int, done func()) { h.callsUntilKill, h.onKill = max(calls, 1), done }

// Kill ends the process at once, or with its machine.
func (h *Host) Kill(machine bool) {
	if h.Ended {
		return
	}
	h.Ended = true
	h.wakeTimer.Stop()
	h.turnTimer.Stop()
	h.tasks, h.ready = nil, nil
	h.node.Kill(machine)
}

// countCall counts one call; false: the process is gone, and what the program does from here on has no effect.
func (h *Host) countCall() bool {
	if h.Ended {
		return false
	}
	if h.callsUntilKill > 0 {
		if h.callsUntilKill--; h.callsUntilKill == 0 {
			h.Kill(false)
			h.onKill()
			return false
		}
	}
	return true
}

func (h *Host) scheduleTurn() {
	if h.Ended || h.turnTimer != nil || h.inTurn {
		return
	}
	w := h.node.net.world
	h.turnTimer = w.At(max(w.now, h.busyUntil), h.turn)
}

// turn is one round of the poller: first what is ready, then the tasks that were queued.
func (h *Host) turn() {
	world := h.node.net.world
	h.turnTimer = nil
	if h.busyUntil > world.now { // paused since this turn was planned
		h.scheduleTurn()
		return
	}
	h.inTurn, h.bytes = true, 0
	h.turns++
	ready := h.ready
	h.ready = nil
	for _, c := range ready {
		c.queued = false
		c.process()
	}
	for n := 0; n < maxTasksPerTurn && len(h.tasks) > 0; n++ {
		f := h.tasks[0]
		h.tasks = h.tasks[1:]
		if !h.countCall() {
			break
		}
		f()
	}
	h.inTurn = false
	h.busyUntil = max(h.busyUntil, world.now+h.cost.Turn+h.cost.KB*microtime.Time(h.bytes)/1024)
	if len(h.ready)+len(h.tasks) > 0 {
		h.scheduleTurn()
	}
}

// accept takes up a connection to one of the listeners, in a turn.
func (h *Host) accept(l *Listener, e *Stream) {
	c := &hostConn{host: h, stream: e}
	e.host = c
	_ = h.Queue(func() {
		if !e.open {
			return
		}
		c.conn = h.loop.Accept(c, l.index)
		c.opened()
	})
}

// Now is part of transport.Driver.
func (h *Host) Now() microtime.Time { return h.node.net.world.now }

// Queue is part of transport.Driver.
func (h *Host) Queue(f func()) error {
	if h.Ended {
		return errEnded
	}
	h.tasks = append(h.tasks, f)
	h.scheduleTurn()
	return nil
}

// SetTimer is part of transport.Driver.
func (h *Host) SetTimer(at microtime.Time) {
	h.wakeTimer.Stop()
	h.wakeTimer = nil
	if at != microtime.Never && !h.Ended {
		h.wakeTimer = h.node.net.world.At(at, func() { _ = h.Queue(h.loop.TimerFired) })
	}
}

// Dial is part of transport.Driver.
func (h *Host) Dial(dial *transport.Dial) {
	if h.Ended {
		return
	}
	h.node.Dial(dial.Addr(), func(e *Stream, err error) {
		if err != nil {
			_ = h.Queue(func() { h.loop.DialFailed(dial) })
			return
		}
		c := &hostConn{host: h, stream: e}
		e.host = c
		_ = h.Queue(func() {
			c.conn = h.loop.Connected(dial, c)
			c.opened()
		})
	})
}

// SetDatagramPeer is part of transport.Driver.
func (h *Host) SetDatagramPeer(addr string) error {
	h.datagramPeer = addr
	return nil
}

// SendDatagram is part of transport.Driver.
func (h *Host) SendDatagram(p []byte) {
	if h.datagramPeer != "" && h.countCall() {
		h.node.SendDatagram(h.datagramPeer, p)
	}
}

// Rand is part of transport.Driver.
func (h *Host) Rand() uint64 { return h.rng.Uint64() }

// CloseListener is part of transport.Driver. Who waits is a task ahead of done.
func (h *Host) CloseListener(listener int, done func()) {
	if l := h.listeners[listener]; l != nil {
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
