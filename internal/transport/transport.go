// Package transport is what guards the program's connections, and the order of a turn: buffers and their sum,
// strangers, making room, dialling again with back-off. It has no socket, goroutine or clock of its own: a Driver
// brings those. Package sockets is the driver of the real program; package virtual has one on a virtual clock.
//
// A turn begins with the first thing that is ready, reads the clock once, and ends behind all that was ready with
// it, as Driver.Queue orders it.
package transport

import (
	"time"

	"pewterline/internal/microtime"
	"pewterline/internal/planted"
)

const (
	// Bytes that a slow reader may leave unread: all answers that the open requests of a connection can get, twice.
	maxUnsent = 256 << 10
	// Bytes that may wait to be taken: all open requests of a connection fit several times over.
	maxUntaken  = 256 << 10
	keepBuffer  = 4 << 10 // of an empty buffer; an ordinary request and its answer fit
	redialFirst = 20 * microtime.Millisecond
	redialMost  = 500 * microtime.Millisecond
)

// The bounds on time that others may want to know.
const (
	IdentificationTimeout = 1500 * microtime.Millisecond // until something valid must have come
	EvictionGrace         = 200 * microtime.Millisecond  // not closed to make room: a request may be on its way
	DialTimeout           = time.Second                  // of one attempt; what a Driver keeps to
	LingerTimeout         = microtime.Second             // for the peer of a connection that has been shut to close it
)

const (
	lingerBytes = 256 << 10                  // bytes that may come on a connection that has been shut
	lingerConns = 4                          // connections that have been shut and are in nobody's place
	lingerPoll  = 10 * microtime.Millisecond // looks whether all is sent of one that is to be shut
)

// Session is what a connection's bytes are for. Its methods run on the loop.
type Session interface {
	// Receive takes what it can of the bytes read so far and returns how many it is done with. An error closes
	// the connection and is logged.
	Receive(in []byte) (int, error)
	// Closed says that the connection has ended; nothing is read or written any more.
	Closed()
	// Idle says that nothing is owed to the peer, so that the connection may be closed to make room.
	Idle() bool
}

// Conn is what a session may do with its connection.
type Conn interface {
	Write(p []byte)  // sends p at the end of the turn
	Close()          // ends the connection at the end of the turn, after what was written; the peer gets all of it
	Resume()         // has Receive called again with what it left, in a turn to come
	MarkIdentified() // the peer has sent something valid: it is no stranger any more
	Remote() string  // names the peer
}

// Handler is the program behind the loop. Its methods run on the loop.
type Handler interface {
	// Accept returns the session of a new connection to the listener of that index.
	Accept(listener int, c Conn) Session
	// Turn ends a turn, in which all that was ready has been received. It returns when the next one is due.
	Turn(now microtime.Time) microtime.Time
}

// Driver is the network and the clock below a Loop. All its methods but Queue are called on the loop; in return it
// calls the Loop's on it: Begin first, then Accept or Connected, Received and Ended for each connection, Failed for
// each attempt to dial that came to nothing, and Wake.
type Driver interface {
	// Now reads the clock. It never goes back.
	Now() microtime.Time
	// Queue runs f on the loop, behind all that is ready now. It may be called from anywhere; an error says that
	// the loop has ended and that f will never run.
	Queue(f func()) error
	// Wake has Loop.Wake called at a time, or soon after it; a later call replaces the one before. Never: not at all.
	SetTimer(at microtime.Time)
	// Dial tries once to open a connection to d's address, for DialTimeout at most. Connected or Failed follows.
	Dial(d *Dial)
	// Datagrams sets the peer of Send; empty: none. On an error the one before stays.
	SetDatagramPeer(addr string) error
	// Send sends one datagram; it may be lost, as any may.
	SendDatagram(p []byte)
	// Rand is a random number. It need not be secret.
	Rand() uint64
	// CloseListener takes up the connections that wait at the listener of that index, and then ends it and calls done on the loop:
	// whoever comes later is refused.
	CloseListener(listener int, done func())
	// Stop ends the loop, with all connections as they are. It may be called again, and from anywhere.
	Stop()
}

// RawConn is one connection of a Driver.
type RawConn interface {
	// Write sends p, or keeps what the peer does not take yet. It may call Ended before it returns an error.
	Write(p []byte) error
	// Unsent counts the bytes that are kept.
	Unsent() int
	// CloseWrite tells the peer that nothing more is sent, once nothing is kept: until then it does nothing, and is called again. What
	// arrives still goes to Received. It may call Ended.
	CloseWrite()
	// Close ends the connection at once; Ended is called before it returns. What has arrived unread resets it, and takes along what
	// the peer has not read yet.
	Close()
	// Remote names the peer.
	Remote() string
}

// Options say what a Loop guards.
type Options struct {
	MaxConns int // accepted connections beyond this must be made room for
	// Apart are the most connections of the listeners, by their index, that have places of their own: they take none of
	// MaxConns, and MaxConns none of theirs.
	DedicatedLimits map[int]int
	MaxBuffered     int // bytes that all connections together may have waiting; 0: no bound
	Logf            func(format string, args ...any)
}

// Loop is the event loop.
type Loop struct {
	opts    Options
	driver  Driver
	handler Handler
	begin   func(*Loop)
	begun   bool
	now     microtime.Time // of this turn
	pending bool           // the end of this turn is queued
	dirty   []*Connection
	armed   microtime.Time
	hall    room          // of most listeners
	apart   map[int]*room // of those that have places of their own
	// Accepted connections that had sent nothing valid when they were last looked at, oldest first.
	strangers    []*Connection
	waiting      int           // bytes in the buffers of all connections
	failed       []*Dial       // to be dialled again
	lingering    []*Connection // shut, until their peers close them; oldest first
	shuttingDown bool          // nothing is accepted, and the loop stops with the last that parts
	shutdownBy   microtime.Time
}

// Connection is one connection, accepted or dialled. It has one buffer for what is read and not yet taken.
type Connection struct {
	loop    *Loop
	wire    RawConn
	session Session
	buf     []byte
	out     []byte
	closing bool           // closed at the end of the turn, after what is unsent
	closed  bool           // the session has been told
	gone    bool           // the driver has no more of it
	until   microtime.Time // shut: closed outright then
	spilled int            // bytes that came since
	room    *room          // nil: dialled
	vouched bool
	place   int            // in its room
	since   microtime.Time // it was accepted
	active  microtime.Time // it last sent something, or was written to
	counted int            // its share of the loop's waiting bytes
}

// room holds accepted connections; each knows its place. One that has been shut keeps its place while it can, as it holds a
// descriptor.
type room struct {
	conns     []*Connection
	most      int
	lingering int // of them
}

// New returns a loop on a driver, which has begun to run when it calls Begin; begin comes first on it, before any
// session.
func New(opts Options, d Driver, h Handler, begin func(*Loop)) *Loop {
	l := &Loop{opts: opts, driver: d, handler: h, begin: begin, armed: microtime.Never, hall: room{most: opts.MaxConns}, apart: map[int]*room{}}
	for listener, most := range opts.DedicatedLimits {
		l.apart[listener] = &room{most: most}
	}
	return l
}

// SetLimits sets anew how many connections are accepted without making room, and how much may wait in all buffers. Strangers and
// idle connections beyond that are closed now; what is in use stays.
func (l *Loop) SetLimits(conns, buffers int) {
	l.hall.most, l.opts.MaxBuffered = conns, buffers
	for len(l.hall.conns)-l.hall.lingering > conns && l.makeRoom(&l.hall) {
	}
}

// Begin has the program behind the loop begin. Calls after the first do nothing.
func (l *Loop) Begin() {
	if l.begun {
		return
	}
	l.begun = true
	l.touch()
	l.begin(l)
}

// Stop ends the loop, with all connections as they are.
func (l *Loop) Stop() { l.driver.Stop() }

// CloseListener takes up the connections that wait at the listener of that index, and then ends it and calls done in a turn.
func (l *Loop) CloseListener(listener int, done func()) {
	l.driver.CloseListener(listener, func() {
		l.touch()
		done()
	})
}

// Shutdown shuts all accepted connections, after what was written, and ends the loop once their peers have closed them, or at a
// time. Guards the last answers: a process that ends while something has arrived unread resets the connection.
func (l *Loop) Shutdown(by microtime.Time) {
	l.touch()
	l.shuttingDown, l.shutdownBy = true, by
	for _, r := range l.rooms() {
		for _, c := range r.conns {
			c.Close()
		}
	}
}

func (l *Loop) rooms() []*room {
	out := []*room{&l.hall}
	for _, r := range l.apart { // in any order: what is done with each is the same
		out = append(out, r)
	}
	return out
}

// Execute runs f on the loop, in a turn. It may be called from anywhere.
func (l *Loop) Execute(f func()) error {
	return l.driver.Queue(func() {
		l.touch()
		f()
	})
}

// TimerFired begins a turn that is due by the clock.
func (l *Loop) TimerFired() { l.touch() }

// touch begins a turn, if none is under way: the clock is read, and the end is queued.
func (l *Loop) touch() {
	if l.pending {
		return
	}
	l.pending, l.now = true, l.driver.Now()
	if err := l.driver.Queue(l.endTurn); err != nil {
		l.opts.Logf("transport: turn: %v", err)
	}
}

// Now is the time of this turn.
func (l *Loop) Now() microtime.Time { return l.now }

// Rand is a random number of the driver's.
func (l *Loop) Rand() uint64 { return l.driver.Rand() }

func (l *Loop) endTurn() {
	l.pending = false
	next := min(l.handler.Turn(l.now), l.dismiss(), l.redial())
	for i := 0; i < len(l.dirty); i++ { // a failed write may close a connection, and its session write to another
		l.dirty[i].flush()
	}
	l.dirty = l.dirty[:0]
	next = min(next, l.sweepLingering())
	if l.shuttingDown && (len(l.lingering) == 0 || l.now >= l.shutdownBy) {
		l.Stop()
		return
	}
	if next != l.armed || next <= l.now {
		l.armed = next
		l.driver.SetTimer(next)
	}
}

// Accept takes up a connection to the listener of that index. It returns nil where the driver is to close it.
func (l *Loop) Accept(w RawConn, listener int) *Connection {
	l.touch()
	// Guards against running out of descriptors, upon which the driver may have to give up listening altogether.
	// A listener with places of its own guards both sides: no number of silent operators costs a proxy its place, and no
	// crowd of proxies shuts the operators out.
	r := l.apart[listener]
	if r == nil {
		r = &l.hall
	}
	if l.shuttingDown {
		return nil
	}
	if len(r.conns)-r.lingering >= r.most && !l.makeRoom(r) {
		l.opts.Logf("transport: %s turned away: %d connections are open, all in use", w.Remote(), len(r.conns)-r.lingering)
		return nil
	}
	if len(r.conns) >= r.most+lingerConns {
		l.closeOldestLingering(r)
	}
	c := &Connection{loop: l, wire: w, room: r, place: len(r.conns), since: l.now, active: l.now}
	r.conns = append(r.conns, c)
	l.strangers = append(l.strangers, c)
	c.session = l.handler.Accept(listener, c)
	return c
}

// Received hands what was read to the session; false: the driver is to close the connection. in is only lent. What comes once
// the connection is to be closed is passed over: whoever sent it gets no answer on it.
func (c *Connection) Received(in []byte) bool {
	l := c.loop
	l.touch()
	if c.closing {
		c.spilled += len(in)
		return c.spilled <= lingerBytes
	}
	c.active = l.now
	// Guards the memory against a peer that sends faster than its session takes.
	if len(c.buf)+len(in) > maxUntaken {
		l.opts.Logf("transport: %s closed: over %d bytes wait to be taken", c.Remote(), maxUntaken)
		c.Close() // what it is owed goes out first
		return true
	}
	c.buf = append(c.buf, in...)
	if c.deliver() {
		c.count()
	}
	return true
}

// deliver hands the session what waits; false: the connection has ended by that.
func (c *Connection) deliver() bool {
	n, err := c.session.Receive(c.buf)
	if err != nil {
		c.loop.opts.Logf("transport: %s closed: %v", c.Remote(), err)
		c.Close()
		c.flush() // what is owed already, such as the protocol's own error; the session is told before the turn goes on
		return false
	}
	c.compact(n)
	return true
}

// Resume is part of Link. Where there is nothing left, there is nothing to do.
func (c *Connection) Resume() {
	if len(c.buf) == 0 {
		return
	}
	_ = c.loop.Execute(func() {
		if c.closed || c.closing {
			return
		}
		c.deliver()
	})
}

// compact moves what is left to the front of the buffer; one that has grown large is let go once it is empty.
func (c *Connection) compact(n int) {
	left := copy(c.buf, c.buf[n:])
	c.buf = c.buf[:left]
	if left == 0 && cap(c.buf) > keepBuffer {
		c.buf = nil
	}
}

// Ended says that the connection is no more; the session hears of it, unless it has. Calls after the first do nothing.
func (c *Connection) Ended() {
	if c.gone {
		return
	}
	c.loop.touch()
	c.gone = true
	if r := c.room; r != nil { // its place goes to the last one
		if c.closed {
			r.lingering--
		}
		last := r.conns[len(r.conns)-1]
		r.conns[c.place], last.place = last, c.place
		r.conns[len(r.conns)-1] = nil
		r.conns = r.conns[:len(r.conns)-1]
	}
	c.end()
}

// end is the end of the connection for its session.
func (c *Connection) end() {
	told := c.closed
	c.closed, c.closing, c.buf, c.out = true, true, nil, nil
	c.count()
	if !told {
		c.session.Closed()
	}
}

// linger ends the connection from this side: the session is told, and the peer gets what was written and hears that nothing
// follows. Guards what it has not read yet: a close with something unread would reset the connection, and a request that
// crosses it has to find that nobody takes it. The peer closes it, or it is closed after a while.
func (c *Connection) linger() {
	l := c.loop
	c.end()
	if c.gone {
		return
	}
	if c.room != nil {
		c.room.lingering++
	}
	c.until = l.now + LingerTimeout
	l.lingering = append(l.lingering, c)
	c.wire.CloseWrite()
}

// sweepLingering goes through the connections that have been shut; it returns when to do so again.
func (l *Loop) sweepLingering() microtime.Time {
	next, left := microtime.Never, l.lingering[:0]
	if l.shuttingDown {
		next = l.shutdownBy
	}
	for _, c := range l.lingering {
		if !c.gone && l.now >= c.until {
			c.wire.Close()
		}
		if c.gone {
			continue
		}
		left, next = append(left, c), min(next, c.until)
		c.count()
		if c.wire.Unsent() > 0 {
			next = min(next, l.now+lingerPoll)
		} else {
			c.wire.CloseWrite()
		}
	}
	clear(l.lingering[len(left):])
	l.lingering = left
	return next
}

// closeOldestLingering closes outright the connection of a room that was shut the longest ago.
func (l *Loop) closeOldestLingering(r *room) {
	for _, c := range l.lingering {
		if c.room == r && !c.gone {
			c.wire.Close()
			return
		}
	}
}

// Write is part of Link.
func (c *Connection) Write(p []byte) {
	if c.closed || c.closing {
		return
	}
	c.active = c.loop.now
	c.mark()
	// Guards the memory within a turn, as flush does over turns: a peer may ask for a lot at once.
	if len(c.out)+len(p) > maxUnsent {
		c.loop.opts.Logf("transport: %s closed: over %d bytes are unsent", c.Remote(), maxUnsent)
		c.out, c.closing = c.out[:0], true
		return
	}
	c.out = append(c.out, p...)
}

// Close is part of Link.
func (c *Connection) Close() {
	if c.closed || c.closing {
		return
	}
	c.mark()
	c.closing = true
}

func (c *Connection) mark() {
	if len(c.out) == 0 && !c.closing {
		c.loop.dirty = append(c.loop.dirty, c)
		c.loop.touch()
	}
}

func (c *Connection) flush() {
	if c.closed {
		return
	}
	if len(c.out) > 0 {
		out := c.out
		c.out = c.out[:0]
		if err := c.wire.Write(out); err != nil || c.closed {
			return // the driver has closed it
		}
		if cap(c.out) > keepBuffer {
			c.out = nil
		}
		// Guards the memory against a peer that asks and does not read.
		if n := c.wire.Unsent(); n > maxUnsent {
			c.loop.opts.Logf("transport: %s closed: %d bytes are unread", c.Remote(), n)
			c.wire.Close()
			return
		}
		c.count()
	}
	if c.closing {
		c.linger()
	}
}

// MarkIdentified is part of Link.
func (c *Connection) MarkIdentified() { c.vouched = true }

// dismiss closes the strangers whose time is up; it returns when that of the next one is. Guards the places of the
// proxies against whoever connects and says nothing, or nothing that makes sense, or half of it.
func (l *Loop) dismiss() microtime.Time {
	for len(l.strangers) > 0 {
		c := l.strangers[0]
		if !c.closed && (!c.vouched || planted.Bug(planted.StrangerVouched)) {
			if l.now < c.since+IdentificationTimeout {
				return c.since + IdentificationTimeout
			}
			l.opts.Logf("transport: %s closed: nothing valid has come", c.Remote())
			c.Close()
		}
		l.strangers = l.strangers[1:]
	}
	l.strangers = nil
	return microtime.Never
}

// makeRoom closes one connection of a room: the oldest stranger, or else the one that has been idle the longest.
func (l *Loop) makeRoom(r *room) bool {
	var last *Connection
	for _, c := range l.strangers {
		if !c.closing && !c.vouched && c.room == r {
			last = c
			break
		}
	}
	if last == nil {
		for _, c := range r.conns {
			if !c.closing && (c.session.Idle() || planted.Bug(planted.RoomOpen)) && c.active+EvictionGrace <= l.now && (last == nil || c.active < last.active) {
				last = c
			}
		}
	}
	if last == nil {
		return false
	}
	l.opts.Logf("transport: %s closed to make room: %d connections are open", last.Remote(), len(r.conns)-r.lingering)
	last.Close()
	last.flush() // now, as its place is taken
	return true
}

// count keeps the sum of what waits in all buffers. Guards the memory of a small machine, which many connections
// could exhaust with little each: whoever has the most waiting goes first.
func (c *Connection) count() {
	l, n := c.loop, cap(c.buf)+cap(c.out)
	if !c.gone {
		n += c.wire.Unsent()
	}
	l.waiting += n - c.counted
	c.counted = n
	if l.opts.MaxBuffered == 0 || l.waiting <= l.opts.MaxBuffered || c.closed {
		return
	}
	for _, p := range l.lingering { // what nobody may read any more goes first
		if p.counted > 0 && !p.gone {
			p.wire.Close()
		}
	}
	if l.waiting <= l.opts.MaxBuffered {
		return
	}
	most := c
	for _, o := range l.hall.conns { // those apart are few, and their sessions take little
		if !o.closing && o.counted > most.counted {
			most = o
		}
	}
	if most.room != nil && !most.closing {
		l.opts.Logf("transport: %s closed: it has %d of %d bytes that wait in all buffers", most.Remote(), most.counted, l.waiting)
		most.out = nil
		most.Close()
	}
}

// Remote is part of Link.
func (c *Connection) Remote() string { return c.wire.Remote() }

// Dial is a link that the program wants, until it is open.
type Dial struct {
	loop    *Loop
	addr    string
	open    func(Conn) Session
	failed  func() // nil: it is tried again until it opens
	wait    microtime.Time
	again   microtime.Time // when it is to be tried again
	dropped bool           // nobody wants it any more
}

// Addr is where to.
func (d *Dial) Addr() string { return d.addr }

// Dial opens a connection to addr on the loop; open gives its session. A link that cannot be opened is tried
// again after a while, longer each time, until it can, or until drop is called on the loop: open is not called
// after that.
func (l *Loop) Dial(addr string, open func(Conn) Session) (drop func()) {
	d := &Dial{loop: l, addr: addr, open: open, wait: redialFirst}
	l.driver.Dial(d)
	return func() { d.dropped = true }
}

// DialOnce opens a connection to addr once: open gives its session, or failed says that it came to nothing. Neither is
// called after drop.
func (l *Loop) DialOnce(addr string, open func(Conn) Session, failed func()) (drop func()) {
	d := &Dial{loop: l, addr: addr, open: open, failed: failed}
	l.driver.Dial(d)
	return func() { d.dropped = true }
}

// Adopted is a link that a driver has opened by itself, for Connected.
func (l *Loop) Adopted(open func(Conn) Session) *Dial { return &Dial{loop: l, open: open} }

// Connected takes up a link that has opened. It returns nil where the driver is to close it.
func (l *Loop) Connected(d *Dial, w RawConn) *Connection {
	l.touch()
	if d.dropped {
		return nil // it opened after it was given up
	}
	c := &Connection{loop: l, wire: w, active: l.now}
	c.session = d.open(c)
	return c
}

// DialFailed says that an attempt to dial came to nothing. There is another after a while.
func (l *Loop) DialFailed(d *Dial) {
	l.touch()
	if d.dropped || planted.Bug(planted.NoRedial) && d.wait > redialFirst {
		return
	}
	if d.failed != nil {
		d.failed()
		return
	}
	d.again, d.wait = l.now+d.wait, min(2*d.wait, redialMost)
	l.failed = append(l.failed, d)
}

// redial tries what is due to be tried again; it returns when the next one is.
func (l *Loop) redial() microtime.Time {
	next, left := microtime.Never, l.failed[:0]
	for _, d := range l.failed {
		switch {
		case d.dropped:
		case d.again <= l.now:
			l.driver.Dial(d)
		default:
			next = min(next, d.again)
			left = append(left, d)
		}
	}
	clear(l.failed[len(left):])
	l.failed = left
	return next
}

// SetDatagramPeer sets the peer of Send; empty: none. On an error the one before stays.
func (l *Loop) SetDatagramPeer(addr string) error { return l.driver.SetDatagramPeer(addr) }

// SendDatagram sends one datagram; it may be lost, as any may.
func (l *Loop) SendDatagram(p []byte) { l.driver.SendDatagram(p) }
