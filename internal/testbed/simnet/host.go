package simnet

import (
	"errors"
	"math/rand/v2"

	"pewterline/internal/microtime"
	"pewterline/internal/transport"
)

// maxTasksPerTurn is the number of queued tasks that a turn runs before the next turn reads from connections again.
const maxTasksPerTurn = 256

var errEnded = errors.New("simnet: host has stopped")

// Cost is the processor time that a host's turns take. Connections and tasks that become ready meanwhile wait for the
// next turn.
type Cost struct {
	Turn microtime.Time // of each turn
	KB   microtime.Time // of each 1024 bytes read or written
}

// Host is a transport.Driver on a node. It runs one program until Stop or Kill.
type Host struct {
	node           *Node
	incarnation    int
	loop           *transport.Loop
	rng            *rand.Rand
	cost           Cost
	ready          []*hostConn // connections with unread bytes or an end to process
	tasks          []func()
	wakeTimer      *Timer         // set by SetTimer
	turnTimer      *Timer         // of the next turn; nil: none is scheduled
	busyUntil      microtime.Time // no turn starts before
	pausedUntil    microtime.Time
	bytes          int // read and written in this turn
	inTurn         bool
	callsUntilKill int // calls into the program and its writes before it is killed; 0: no kill is scheduled
	onKill         func()
	datagramPeer   string // the address that datagrams go to
	Ended          bool
	OnStop         func() // called when the program has stopped by itself
	listeners      map[int]*Listener
	turns          uint64
}

// HostConfig holds the program that a host runs, and the host's parameters.
type HostConfig struct {
	Options transport.Options
	Handler transport.Handler
	Begin   func(*transport.Loop) // called on the loop before any other event
	Rand    *rand.Rand
	Cost    Cost
}

// NewHost returns a host on a node whose process has been started by Boot. The program begins in the first turn.
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

// Loop returns the program's event loop.
func (h *Host) Loop() *transport.Loop { return h.loop }

// Turns returns the number of turns so far.
func (h *Host) Turns() uint64 { return h.turns }

// Listen opens an address for the program's listener of that index.
func (h *Host) Listen(addr string, index int) error {
	listener, err := h.node.Listen(addr, Listener{host: h, index: index})
	h.listeners[index] = listener
	return err
}

// Pause stops the program from running until a time. Its machine continues to receive.
func (h *Host) Pause(until microtime.Time) {
	h.busyUntil, h.pausedUntil = max(h.busyUntil, until), max(h.pausedUntil, until)
}

// PausedUntil returns the time when the program resumes; if it is not paused, a time in the past.
func (h *Host) PausedUntil() microtime.Time { return h.pausedUntil }

// KillIn kills the process, possibly in the middle of a turn, at the last of the given number of further calls into the
// program and writes by it. It then calls done.
func (h *Host) KillIn(calls int, done func()) { h.callsUntilKill, h.onKill = max(calls, 1), done }

// Kill kills the process at once, and with withMachine its machine too.
func (h *Host) Kill(withMachine bool) {
	if h.Ended {
		return
	}
	h.Ended = true
	h.wakeTimer.Stop()
	h.turnTimer.Stop()
	h.tasks, h.ready = nil, nil
	h.node.Kill(withMachine)
}

// countCall counts a call into the program or a write towards KillIn. It returns false if the process has ended, in
// which case the call or write must have no effect.
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
	clock := h.node.net.clock
	h.turnTimer = clock.At(max(clock.now, h.busyUntil), h.turn)
}

// turn is one iteration of the event loop: first the ready connections, then the queued tasks.
func (h *Host) turn() {
	clock := h.node.net.clock
	h.turnTimer = nil
	if h.busyUntil > clock.now { // paused since this turn was scheduled
		h.scheduleTurn()
		return
	}
	h.inTurn, h.bytes = true, 0
	h.turns++
	ready := h.ready
	h.ready = nil
	for _, conn := range ready {
		conn.queued = false
		conn.process()
	}
	for n := 0; n < maxTasksPerTurn && len(h.tasks) > 0; n++ {
		task := h.tasks[0]
		h.tasks = h.tasks[1:]
		if !h.countCall() {
			break
		}
		task()
	}
	h.inTurn = false
	h.busyUntil = max(h.busyUntil, clock.now+h.cost.Turn+h.cost.KB*microtime.Time(h.bytes)/1024)
	if len(h.ready)+len(h.tasks) > 0 {
		h.scheduleTurn()
	}
}

// accept queues the acceptance of a connection to one of the listeners.
func (h *Host) accept(listener *Listener, stream *Stream) {
	raw := &hostConn{host: h, stream: stream}
	stream.host = raw
	_ = h.Queue(func() {
		if !stream.open {
			return
		}
		raw.conn = h.loop.Accept(raw, listener.index)
		raw.opened()
	})
}

// Now is part of transport.Driver.
func (h *Host) Now() microtime.Time { return h.node.net.clock.now }

// Queue is part of transport.Driver.
func (h *Host) Queue(task func()) error {
	if h.Ended {
		return errEnded
	}
	h.tasks = append(h.tasks, task)
	h.scheduleTurn()
	return nil
}

// SetTimer is part of transport.Driver.
func (h *Host) SetTimer(at microtime.Time) {
	h.wakeTimer.Stop()
	h.wakeTimer = nil
	if at != microtime.Never && !h.Ended {
		h.wakeTimer = h.node.net.clock.At(at, func() { _ = h.Queue(h.loop.TimerFired) })
	}
}

// Dial is part of transport.Driver.
func (h *Host) Dial(dial *transport.Dial) {
	if h.Ended {
		return
	}
	h.node.Dial(dial.Addr(), func(stream *Stream, err error) {
		if err != nil {
			_ = h.Queue(func() { h.loop.DialFailed(dial) })
			return
		}
		raw := &hostConn{host: h, stream: stream}
		stream.host = raw
		_ = h.Queue(func() {
			raw.conn = h.loop.Connected(dial, raw)
			raw.opened()
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

// CloseListener is part of transport.Driver. Connections that wait for acceptance are tasks queued ahead of done.
func (h *Host) CloseListener(listener int, done func()) {
	if open := h.listeners[listener]; open != nil {
		open.Close()
	}
	_ = h.Queue(done)
}

// Stop is part of transport.Driver. The process exits by itself, which closes its sockets as Kill does.
func (h *Host) Stop() {
	if h.Ended {
		return
	}
	h.Kill(false)
	if h.OnStop != nil {
		h.OnStop()
	}
}
