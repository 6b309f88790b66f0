package simnet

import (
	"errors"
	"fmt"
	"math"
	"strings"

	"pewterline/internal/microtime"
)

const (
	segmentMost = 16 << 10 // bytes that arrive at once
	window      = 64 << 10 // bytes under way or unread in one direction, before a sender has to keep the rest
	dialMost    = microtime.Second
)

// What may become of a connect.
var (
	ErrRefused = errors.New("connection refused")
	ErrTimeout = errors.New("connect timed out")
)

// Quality is how good a path between two nodes is.
type Quality struct {
	Latency   microtime.Time // one way
	Jitter    microtime.Time // added at random, up to this
	Bandwidth int            // bytes a second in each direction; 0: no bound
	Loss      float64        // chance of a datagram
	Duplicate float64        // chance of a datagram
}

// Path is the way between two nodes. Faults change it.
type Path struct {
	Quality
	StalledUntil microtime.Time // nothing passes before, and nothing is lost
	LostUntil    microtime.Time // connects and datagrams get no answer before
}

// EventKind is what a tap sees.
type EventKind uint8

// The kinds of event.
const (
	Opened           EventKind = iota // a connection that Node dialled has reached Peer at Addr
	Written                           // Node has handed Bytes to the network
	Arrived                           // Bytes have reached Node's machine
	Closed                            // Node has no more of the connection; Why tells
	DatagramArrived                   // a datagram with Bytes has reached Node
	HalfClosed                        // Node sends no more, and still reads; Why tells
	ConnectAttempted                  // Node tries to connect to Addr
)

// Cause tells how an end of a connection came about.
type Cause uint8

// The ways to end.
const (
	CauseClosed Cause = iota // Node closed it
	CauseReset               // a reset came, or Node sent one
	CauseKilled              // Node's process is gone
	CauseCut                 // a fault of the network
)

// Event is one thing that a tap sees: bytes and times, and nothing else.
type Event struct {
	At          microtime.Time
	Kind        EventKind
	Conn        uint64 // the same for both ends
	Node        string
	Incarnation int // of Node
	Peer        string
	Addr        string
	Dialer      bool // Node is the one that dialled
	Cause       Cause
	Bytes       []byte // lent
}

// Net joins nodes.
type Net struct {
	w       *World
	Default Quality
	Tap     func(Event) // nil: none
	// Mangle, where a test sets it, changes what an end writes before anything sees it: a saboteur between a program and the network.
	Intercept func(e *Stream, p []byte) []byte
	nodes     map[string]*Node
	paths     map[[2]string]*Path
	listeners map[string]*Listener
	conns     uint64
}

// NewNet returns a network without nodes.
func NewNet(w *World, q Quality) *Net {
	return &Net{w: w, Default: q, nodes: map[string]*Node{}, paths: map[[2]string]*Path{}, listeners: map[string]*Listener{}}
}

// World is the clock below.
func (n *Net) World() *World { return n.w }

// Path is the way between two nodes, in either direction.
func (n *Net) Path(a, b string) *Path {
	if a > b {
		a, b = b, a
	}
	p := n.paths[[2]string{a, b}]
	if p == nil {
		p = &Path{Quality: n.Default}
		n.paths[[2]string{a, b}] = p
	}
	return p
}

// Node is a machine with one process at a time.
type Node struct {
	Name           string
	Incarnation    int // of its process, from 1 on
	MaxConnections int // connections that it can hold; one more waits to be accepted
	net            *Net
	up             bool
	ends           []*Stream // open, in no order that a map gives
	waiting        []*Stream // for room
}

// Node returns the node of a name, which is made at first.
func (n *Net) Node(name string) *Node {
	if n.nodes[name] == nil {
		n.nodes[name] = &Node{Name: name, net: n, MaxConnections: math.MaxInt}
	}
	return n.nodes[name]
}

// Boot starts the node's process anew.
func (n *Node) Boot() {
	n.up = true
	n.Incarnation++
}

// Up tells whether its process runs.
func (n *Node) Up() bool { return n.up }

// OpenConnections counts its connections.
func (n *Node) OpenConnections() int { return len(n.ends) }

// Kill ends the process. What was handed to the network still arrives, unless the machine goes with it: then peers
// hear nothing.
func (n *Node) Kill(machine bool) {
	if !n.up {
		return
	}
	n.up = false
	for a, l := range n.net.listeners {
		if l.node == n {
			delete(n.net.listeners, a) // in any order: each by itself
		}
	}
	for len(n.ends) > 0 {
		e := n.ends[len(n.ends)-1]
		e.unsent = nil // it lay in the process
		if machine {
			e.flight = nil
			e.timer.Stop()
			e.end(CauseKilled)
			continue
		}
		e.finish(CauseKilled)
	}
	n.waiting = nil
}

// Listener is where connections and datagrams come to.
type Listener struct {
	node     *Node
	addr     string
	Accept   func(*Stream) Handler // nil Handler: the connection is closed
	Datagram func(from string, p []byte)
	host     *Host
	index    int
}

// Listen opens an address of the node's. One that is taken is an error.
func (n *Node) Listen(addr string, l Listener) (*Listener, error) {
	if n.net.listeners[addr] != nil {
		return nil, fmt.Errorf("virtual: %s: address in use", addr)
	}
	l.node, l.addr = n, addr
	n.net.listeners[addr] = &l
	return &l, nil
}

// Close closes the address; open connections go on.
func (l *Listener) Close() {
	if l.node.net.listeners[l.addr] == l {
		delete(l.node.net.listeners, l.addr)
	}
}

// Handler is what an end of a stream is for.
type Handler interface {
	Received(e *Stream, p []byte) // p is lent
	EOF(e *Stream)                // the peer sends no more
	Reset(e *Stream)              // the connection was reset
}

// segment is bytes under way; fin marks the end of the stream, reset its breaking.
type segment struct {
	at         microtime.Time
	data       []byte
	fin, reset bool
}

// Stream is one of the two ends of a stream.
type Stream struct {
	node    *Node
	life    int
	peer    *Stream
	conn    uint64
	addr    string // that was dialled
	dialer  bool
	handler Handler
	host    *hostConn // in place of a handler
	place   int       // among the node's
	path    *Path
	unsent  []byte
	sent    int // bytes under way or unread at the peer
	flight  []segment
	timer   *Timer
	last    microtime.Time // when the last segment arrives
	cut     int            // bytes until the connection is reset under way; -1: never
	fin     bool           // no more is sent
	open    bool
	unread  []byte // by a host
	eof     bool   // and nothing follows
	reset   bool
	holding bool // a reader that takes nothing for now; see Hold
	backlog bool // its node has no room for it yet
}

// ConnID numbers the connection; both ends have the same.
func (e *Stream) ConnID() uint64 { return e.conn }

// Node names its own node.
func (e *Stream) Node() string { return e.node.Name }

// Peer names the other node.
func (e *Stream) Peer() string { return e.peer.node.Name }

// Addr is what was dialled.
func (e *Stream) Addr() string { return e.addr }

// IsOpen tells whether this end is still of use.
func (e *Stream) IsOpen() bool { return e.open }

// Dial connects to an address; done is called once, with an end or an error. Where the handler is nil, done gives
// it by SetHandler.
func (n *Node) Dial(addr string, done func(*Stream, error)) {
	w, life := n.net.w, n.Incarnation
	answer := func(d microtime.Time, e *Stream, err error) {
		w.In(d, func() {
			if !n.up || n.Incarnation != life {
				if e != nil {
					e.finish(CauseKilled)
				}
				return
			}
			done(e, err)
		})
	}
	host, _, _ := strings.Cut(addr, "/")
	if n.net.Tap != nil {
		n.net.Tap(Event{At: w.now, Kind: ConnectAttempted, Node: n.Name, Incarnation: n.Incarnation, Peer: host, Addr: addr, Dialer: true})
	}
	to := n.net.nodes[host]
	if to == nil { // nobody holds this address
		answer(dialMost, nil, ErrTimeout)
		return
	}
	p := n.net.Path(n.Name, host)
	if p.LostUntil > w.now || p.StalledUntil > w.now+dialMost {
		answer(dialMost, nil, ErrTimeout)
		return
	}
	w.At(max(w.now, p.StalledUntil)+n.net.delay(p), func() {
		l := n.net.listeners[addr]
		if l == nil || !to.up {
			answer(p.Latency, nil, ErrRefused)
			return
		}
		if !n.up || n.Incarnation != life {
			return
		}
		n.net.conns++
		ours := &Stream{node: n, life: life, conn: n.net.conns, addr: addr, dialer: true, path: p, cut: -1, open: true}
		theirs := &Stream{node: to, life: to.Incarnation, conn: n.net.conns, addr: addr, path: p, cut: -1, open: true}
		ours.peer, theirs.peer = theirs, ours
		n.seat(ours)
		n.net.tap(ours, Event{Kind: Opened})
		if len(to.ends) >= to.MaxConnections { // it is held in the backlog, as a full table of descriptors does
			theirs.backlog = true
			to.waiting = append(to.waiting, theirs)
		} else {
			to.take(l, theirs)
		}
		answer(p.Latency, ours, nil)
	})
}

func (n *Node) seat(e *Stream) {
	e.place = len(n.ends)
	n.ends = append(n.ends, e)
}

// take accepts a connection.
func (n *Node) take(l *Listener, e *Stream) {
	n.seat(e)
	if e.backlog { // only now it is accepted, with what has come before
		e.backlog = false
		if len(e.unread) > 0 {
			n.net.tap(e, Event{Kind: Arrived, Bytes: e.unread})
		}
	}
	if l.host != nil {
		l.host.accept(l, e)
		return
	}
	if e.handler = l.Accept(e); e.handler == nil {
		e.Close()
	}
}

// room accepts what waits, as far as there is room now.
func (n *Node) room() {
	for len(n.waiting) > 0 && len(n.ends) < n.MaxConnections && n.up {
		e := n.waiting[0]
		n.waiting = n.waiting[1:]
		l := n.net.listeners[e.addr]
		if !e.open || l == nil {
			e.Reset()
			continue
		}
		n.take(l, e)
		if e.host == nil {
			e.read()
		}
	}
}

// SetMaxConnections bounds the node's connections from now on.
func (n *Node) SetMaxConnections(most int) {
	n.MaxConnections = most
	n.room()
}

// SetHandler says what the end is for.
func (e *Stream) SetHandler(h Handler) {
	e.handler = h
	e.read()
}

func (n *Net) delay(p *Path) microtime.Time {
	d := p.Latency
	if p.Jitter > 0 {
		d += microtime.Time(n.w.rng.Int64N(int64(p.Jitter)))
	}
	return d
}

func (n *Net) tap(e *Stream, v Event) {
	v.At, v.Conn, v.Node, v.Incarnation, v.Peer, v.Addr, v.Dialer = n.w.now, e.conn, e.node.Name, e.life, e.peer.node.Name, e.addr, e.dialer
	n.w.Record(v.Node, v.Bytes)
	if n.Tap != nil {
		n.Tap(v)
	}
}

// Write hands p to the network. What the peer does not take yet is kept.
func (e *Stream) Write(p []byte) {
	if e.node.net.Intercept != nil {
		p = e.node.net.Intercept(e, p)
	}
	if !e.open || e.fin || len(p) == 0 {
		return
	}
	e.node.net.tap(e, Event{Kind: Written, Bytes: p})
	e.unsent = append(e.unsent, p...)
	e.pump()
}

// Unsent counts the bytes that are kept.
func (e *Stream) Unsent() int { return len(e.unsent) }

func (e *Stream) pump() {
	for len(e.unsent) > 0 && e.sent < window {
		n := min(segmentMost, window-e.sent, len(e.unsent))
		if e.cut >= 0 {
			n = min(n, e.cut)
		}
		e.sent += n
		e.send(segment{data: append([]byte(nil), e.unsent[:n]...)})
		e.unsent = e.unsent[:copy(e.unsent, e.unsent[n:])]
		if e.cut >= 0 {
			if e.cut -= n; e.cut == 0 { // what goes before the cut arrives, then both ends break
				e.cut, e.unsent = -1, nil
				e.send(segment{reset: true})
				return
			}
		}
	}
	if len(e.unsent) == 0 && e.fin {
		e.send(segment{fin: true})
	}
}

func (e *Stream) send(s segment) {
	net := e.node.net
	s.at = max(net.w.now+net.delay(e.path), e.last)
	if bw := e.path.Bandwidth; bw > 0 {
		s.at += microtime.Time(len(s.data)) * microtime.Second / microtime.Time(bw)
	}
	e.last = s.at
	e.flight = append(e.flight, s)
	if len(e.flight) == 1 {
		e.arm()
	}
}

func (e *Stream) arm() {
	e.timer.Stop()
	e.timer = e.node.net.w.At(max(e.flight[0].at, e.path.StalledUntil), e.arrive)
}

// arrive has what is due reach the peer's machine.
func (e *Stream) arrive() {
	w := e.node.net.w
	for len(e.flight) > 0 && max(e.flight[0].at, e.path.StalledUntil) <= w.now {
		s := e.flight[0]
		e.flight = e.flight[1:]
		e.peer.receive(s)
	}
	if len(e.flight) > 0 {
		e.arm()
	} else {
		e.flight = nil
	}
}

func (e *Stream) receive(s segment) {
	switch {
	case s.reset:
		e.broken(CauseCut)
		e.peer.broken(CauseCut)
		return
	case !e.open:
		if len(s.data) > 0 && e.node.up { // nobody is there to read it; a machine that is gone says nothing
			e.peer.Reset()
		}
		return
	case s.fin:
		e.eof = true
	default:
		if !e.backlog {
			e.node.net.tap(e, Event{Kind: Arrived, Bytes: s.data})
		}
		e.unread = append(e.unread, s.data...)
	}
	e.read()
}

// PauseReading has the end take nothing for a while, or go on: a reader that is slow.
func (e *Stream) PauseReading(on bool) {
	e.holding = on
	e.read()
}

// read hands on what has arrived.
func (e *Stream) read() {
	if e.host != nil {
		e.host.rouse()
		return
	}
	if e.handler == nil || e.holding || !e.open {
		return
	}
	if n := len(e.unread); n > 0 {
		p := e.unread
		e.unread = nil
		e.handler.Received(e, p)
		e.took(n)
		if e.unread == nil && e.open {
			e.unread = p[:0]
		}
	}
	if e.eof && e.open && len(e.unread) == 0 {
		e.eof = false
		e.handler.EOF(e)
	}
}

// took makes room in the window for what was read.
func (e *Stream) took(n int) {
	e.peer.sent -= n
	if e.peer.open || e.peer.fin {
		e.peer.pump2()
	}
}

// pump2 goes on with what was kept, and does not send the end of the stream twice.
func (e *Stream) pump2() {
	if len(e.unsent) > 0 {
		e.pump()
	}
}

// CutAfter has the connection break once so many more bytes have been sent from this end; 0: now.
func (e *Stream) CutAfter(n int) {
	if n <= 0 {
		e.broken(CauseCut)
		e.peer.broken(CauseCut)
		return
	}
	e.cut = n
}

// Close ends the stream from this side. Where something has arrived unread, that is a reset, as with TCP.
func (e *Stream) Close() { e.finish(CauseClosed) }

// CloseWrite sends the end of the stream, and goes on reading. CutWrite is the same as a fault of the network.
func (e *Stream) CloseWrite() { e.halve(CauseClosed) }

// CutWrite has the network end the stream from this end, which goes on reading and knows nothing of it.
func (e *Stream) CutWrite() { e.halve(CauseCut) }

func (e *Stream) halve(why Cause) {
	if e.open && !e.fin {
		e.fin = true
		e.node.net.tap(e, Event{Kind: HalfClosed, Cause: why})
		if len(e.unsent) == 0 {
			e.send(segment{fin: true})
		}
	}
}

func (e *Stream) finish(why Cause) {
	if !e.open {
		return
	}
	if len(e.unread) > 0 {
		e.resetAs(why)
		return
	}
	fin := e.fin
	e.fin = true
	e.end(why)
	if !fin && len(e.unsent) == 0 {
		e.send(segment{fin: true})
	}
}

// Reset breaks the connection: the peer hears of it, and what is under way to it is lost.
func (e *Stream) Reset() { e.resetAs(CauseReset) }

func (e *Stream) resetAs(why Cause) {
	if !e.open {
		return
	}
	e.end(why)
	e.flight, e.unsent = nil, nil
	e.timer.Stop()
	peer := e.peer
	e.node.net.w.At(max(e.node.net.w.now, e.path.StalledUntil)+e.path.Latency, func() { peer.broken(CauseReset) })
}

// broken says that the connection was reset from elsewhere.
func (e *Stream) broken(why Cause) {
	if !e.open {
		return
	}
	e.reset, e.flight, e.unsent, e.unread = true, nil, nil, nil
	e.timer.Stop()
	if e.host != nil {
		e.node.net.tap(e, Event{Kind: Closed, Cause: why})
		e.host.rouse() // it hears in a turn of its own
		return
	}
	e.end(why)
	if e.handler != nil {
		e.handler.Reset(e)
	}
}

// end takes the end out of its node.
func (e *Stream) end(why Cause) {
	if !e.open {
		return
	}
	e.open = false
	if !e.reset || e.host == nil {
		e.node.net.tap(e, Event{Kind: Closed, Cause: why})
	}
	n := e.node
	if e.place < len(n.ends) && n.ends[e.place] == e {
		last := n.ends[len(n.ends)-1]
		n.ends[e.place], last.place = last, e.place
		n.ends[len(n.ends)-1] = nil
		n.ends = n.ends[:len(n.ends)-1]
	}
	n.room()
}

// Streams are the node's open connections, those that it dialled or that came to it.
func (n *Node) Streams() []*Stream { return n.ends }

// SendDatagram sends a datagram to an address.
func (n *Node) SendDatagram(addr string, p []byte) {
	host, _, _ := strings.Cut(addr, "/")
	net, path := n.net, n.net.Path(n.Name, host)
	times := 1
	if path.Duplicate > 0 && net.w.rng.Float64() < path.Duplicate {
		times = 2
	}
	if path.Loss > 0 && net.w.rng.Float64() < path.Loss || path.LostUntil > net.w.now {
		times = 0
	}
	for range times {
		data := append([]byte(nil), p...)
		net.w.At(max(net.w.now, path.StalledUntil)+net.delay(path), func() {
			l := net.listeners[addr]
			if l == nil || !l.node.up || l.Datagram == nil {
				return
			}
			v := Event{At: net.w.now, Kind: DatagramArrived, Node: l.node.Name, Incarnation: l.node.Incarnation, Peer: n.Name, Addr: addr, Bytes: data}
			net.w.Record(v.Node, data)
			if net.Tap != nil {
				net.Tap(v)
			}
			l.Datagram(n.Name, data)
		})
	}
}
