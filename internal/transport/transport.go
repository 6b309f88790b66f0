// Package transport is the one event loop of the program: listeners, connections, dialled links, timers and
// datagrams. Nothing else imports gnet.
//
// gnet calls back for each connection and tells nobody when a round of its poller is over. A turn is made from
// how its poller works: it first calls back for every descriptor that is ready, and runs the tasks that were
// queued with Execute after that. So the first callback of a turn queues its end, which then runs behind all
// that was ready with it.
package transport

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/panjf2000/gnet/v2/pkg/logging"
	"golang.org/x/sys/unix"

	"pewterline/internal/micro"
)

const (
	// Bytes that a slow reader may leave unread: all answers that the open requests of a connection can get, twice.
	maxUnsent = 256 << 10
	// Bytes that may wait to be taken: all open requests of a connection fit several times over.
	maxUntaken  = 256 << 10
	strangerMax = 1500 * micro.Millisecond // until something valid must have come
	busyLately  = 200 * micro.Millisecond  // not closed to make room: a request may be on its way
	keepBuffer  = 4 << 10                  // of an empty buffer; an ordinary request and its answer fit
	readBuffer  = 64 << 10
	dialTimeout = time.Second
	redialFirst = 20 * time.Millisecond
	redialMost  = 500 * time.Millisecond
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

// Link is what a session may do with its connection.
type Link interface {
	Write(p []byte) // sends p at the end of the turn
	Close()         // ends the connection at the end of the turn, after what was written
	Resume()        // has Receive called again with what it left, in a turn to come
	Vouch()         // the peer has sent something valid: it is no stranger any more
	Remote() string // names the peer
}

// Handler is the program behind the loop. Its methods run on the loop.
type Handler interface {
	// Accept returns the session of a new connection to the listener of that index.
	Accept(listener int, c Link) Session
	// Turn ends a turn, in which all that was ready has been received. It returns when the next one is due.
	Turn(now micro.Time) micro.Time
}

// Clock tells the time of a turn. Timers run by the system's own clock.
type Clock interface {
	Now() micro.Time
}

// Options say what a Loop serves.
type Options struct {
	Listen    []string // addresses, in the order of Handler.Accept's index
	Datagrams string   // the peer of Send; empty: none
	MaxConns  int      // accepted connections beyond this must be made room for
	Buffers   int      // bytes that all connections together may have waiting; 0: no bound
	Clock     Clock
	Logf      func(format string, args ...any)
}

// Loop is the event loop.
type Loop struct {
	gnet.BuiltinEventEngine
	opts    Options
	handler Handler
	engine  gnet.Engine
	el      gnet.EventLoop // from the first connection on
	begin   func(*Loop)
	now     micro.Time // of this turn
	pending bool       // the end of this turn is queued
	dirty   []*Conn
	timer   *time.Timer
	armed   micro.Time
	addrs   []*net.TCPAddr
	conns   map[*Conn]struct{} // accepted
	// Accepted connections that had sent nothing valid when they were last looked at, oldest first.
	strangers []*Conn
	waiting   int // bytes in the buffers of all connections
	udp       net.Conn
	ended     atomic.Bool
	up        chan struct{}
	done      chan error
	ticked    bool // of gnet's ticker alone
}

// Conn is one connection, accepted or dialled. It has one buffer for what is read and not yet taken.
type Conn struct {
	loop     *Loop
	gc       gnet.Conn
	session  Session
	buf      []byte
	out      []byte
	closing  bool // closed at the end of the turn, after what is unsent
	closed   bool
	accepted bool
	vouched  bool
	since    micro.Time // it was accepted
	active   micro.Time // it last sent something, or was written to
	counted  int        // its share of the loop's waiting bytes
}

// Start opens the listeners and runs the loop; begin comes first on it, before any session.
func Start(opts Options, h Handler, begin func(*Loop)) (*Loop, error) {
	l := &Loop{opts: opts, handler: h, begin: begin, armed: micro.Never, conns: map[*Conn]struct{}{}, up: make(chan struct{}), done: make(chan error, 1)}
	l.timer = time.AfterFunc(time.Hour, l.wake)
	l.timer.Stop()
	if err := l.Datagrams(opts.Datagrams); err != nil {
		return nil, err
	}
	addrs := make([]string, len(opts.Listen))
	for i, a := range opts.Listen {
		addrs[i] = "tcp://" + a
	}
	go func() {
		// SO_REUSEPORT makes gnet accept on the loop that serves; without it, a second loop only accepts.
		l.done <- gnet.Rotate(l, addrs, gnet.WithNumEventLoop(1), gnet.WithReusePort(true), gnet.WithReuseAddr(true), gnet.WithTicker(true),
			gnet.WithReadBufferCap(readBuffer), gnet.WithTCPNoDelay(gnet.TCPNoDelay), gnet.WithLogger(quiet{opts.Logf}),
			gnet.WithLogLevel(logging.WarnLevel))
	}()
	select {
	case <-l.up:
	case err := <-l.done:
		if err == nil {
			err = errors.New("the loop ended at once")
		}
		return nil, fmt.Errorf("transport: listen: %w", err)
	}
	if err := l.enrolSelf(); err != nil {
		l.Stop()
		return nil, fmt.Errorf("transport: %w", err)
	}
	return l, nil
}

// enrolSelf has the loop begin: gnet gives its handle only by a connection, so a datagram socket of our own is
// enrolled for as long as that takes.
func (l *Loop) enrolSelf() error {
	c, err := net.Dial("udp", l.addrs[0].String()) // our own address: nothing is sent
	if err != nil {
		return fmt.Errorf("datagram socket: %w", err)
	}
	res, err := l.engine.Register(gnet.NewNetConnContext(context.Background(), c))
	if err != nil {
		return fmt.Errorf("enrol: %w", err)
	}
	r := <-res
	if r.Err != nil {
		return fmt.Errorf("enrol: %w", r.Err)
	}
	return l.Execute(func() { _ = l.el.Close(r.Conn) })
}

// Addr is the address that the listener of that index got.
func (l *Loop) Addr(i int) *net.TCPAddr { return l.addrs[i] }

// Stop ends the loop; Wait returns after that.
func (l *Loop) Stop() {
	l.ended.Store(true)
	go func() { _ = l.engine.Stop(context.Background()) }()
}

// Wait returns when the loop has ended.
func (l *Loop) Wait() error {
	err := <-l.done
	l.timer.Stop()
	return err
}

type task func()

func (t task) Run(context.Context) error {
	t()
	return nil
}

// Execute runs f on the loop, in a turn. It may be called from anywhere.
func (l *Loop) Execute(f func()) error {
	return l.el.Execute(context.Background(), task(func() {
		l.touch()
		f()
	}))
}

func (l *Loop) wake() {
	if !l.ended.Load() {
		_ = l.Execute(func() {})
	}
}

// touch begins a turn, if none is under way: the clock is read, and the end is queued.
func (l *Loop) touch() {
	if l.pending {
		return
	}
	l.pending, l.now = true, l.opts.Clock.Now()
	if err := l.el.Execute(context.Background(), task(l.endTurn)); err != nil {
		l.opts.Logf("transport: turn: %v", err)
	}
}

// Now is the time of this turn.
func (l *Loop) Now() micro.Time { return l.now }

func (l *Loop) endTurn() {
	l.pending = false
	next := min(l.handler.Turn(l.now), l.dismiss())
	for i := 0; i < len(l.dirty); i++ { // a failed write may close a connection, and its session write to another
		l.dirty[i].flush()
	}
	l.dirty = l.dirty[:0]
	if next != l.armed || next <= l.now {
		l.armed = next
		if next == micro.Never {
			l.timer.Stop()
		} else {
			l.timer.Reset(max(next-l.opts.Clock.Now(), 0).Duration())
		}
	}
}

// OnBoot notes the engine and the listeners' addresses.
func (l *Loop) OnBoot(e gnet.Engine) gnet.Action {
	l.engine = e
	for _, a := range l.opts.Listen {
		l.addrs = append(l.addrs, boundAddr(e, a))
	}
	return gnet.None
}

// OnTick is first called once the loop runs: from then on gnet can be given connections.
func (l *Loop) OnTick() (time.Duration, gnet.Action) {
	if !l.ticked {
		l.ticked = true
		close(l.up)
	}
	return time.Hour, gnet.None
}

// boundAddr asks the system where a listener is bound, as its port may have been left to it.
func boundAddr(e gnet.Engine, a string) *net.TCPAddr {
	fd, err := e.DupListener("tcp", a)
	if err != nil {
		return nil
	}
	defer unix.Close(fd) //nolint:errcheck // a copy
	return localAddr(fd)
}

func localAddr(fd int) *net.TCPAddr {
	sa, err := unix.Getsockname(fd)
	if err != nil {
		return nil
	}
	switch sa := sa.(type) {
	case *unix.SockaddrInet4:
		return &net.TCPAddr{IP: sa.Addr[:], Port: sa.Port}
	case *unix.SockaddrInet6:
		return &net.TCPAddr{IP: sa.Addr[:], Port: sa.Port}
	}
	return nil
}

// OnOpen gives a new connection its session.
func (l *Loop) OnOpen(gc gnet.Conn) ([]byte, gnet.Action) {
	// Guards against a caller that connects as soon as the port listens, ahead of our own socket: the program
	// behind the loop must have begun.
	if l.el == nil {
		l.el = gc.EventLoop()
		l.touch()
		l.begin(l)
	}
	if gc.LocalAddr().Network() == "udp" {
		return nil, gnet.None // the loop's own
	}
	l.touch()
	if c, ok := gc.Context().(*Conn); ok { // dialled
		k := c.session.(*dialled)
		if k.dropped.Load() {
			return nil, gnet.Close // it opened after it was given up
		}
		c.gc = gc
		_ = gc.SetNoDelay(true)
		c.session = k.open(c)
		return nil, gnet.None
	}
	// Guards against running out of descriptors, upon which gnet gives up listening altogether.
	if len(l.conns) >= l.opts.MaxConns && !l.makeRoom() {
		l.opts.Logf("transport: %s turned away: %d connections are open, all in use", gc.RemoteAddr(), len(l.conns))
		return nil, gnet.Close
	}
	c := &Conn{loop: l, gc: gc, accepted: true, since: l.now, active: l.now}
	l.conns[c] = struct{}{}
	l.strangers = append(l.strangers, c)
	gc.SetContext(c)
	c.session = l.handler.Accept(l.listenerOf(gc), c)
	return nil, gnet.None
}

// listenerOf finds the listener by the port that the connection came to.
func (l *Loop) listenerOf(gc gnet.Conn) int {
	if local := localAddr(gc.Fd()); local != nil {
		for i, a := range l.addrs {
			if a != nil && a.Port == local.Port && (a.IP.Equal(local.IP) || a.IP.IsUnspecified()) {
				return i
			}
		}
	}
	return 0
}

// OnTraffic hands what was read to the session.
func (l *Loop) OnTraffic(gc gnet.Conn) gnet.Action {
	c, ok := gc.Context().(*Conn)
	if !ok {
		_, _ = gc.Discard(-1)
		return gnet.None
	}
	l.touch()
	in, err := gc.Next(-1)
	if err != nil || c.closing {
		return gnet.None
	}
	c.active = l.now
	// Guards the memory against a peer that sends faster than its session takes.
	if len(c.buf)+len(in) > maxUntaken {
		l.opts.Logf("transport: %s closed: over %d bytes wait to be taken", c.Remote(), maxUntaken)
		return gnet.Close
	}
	c.buf = append(c.buf, in...)
	if err := c.deliver(); err != nil {
		return gnet.Close
	}
	c.count()
	return gnet.None
}

func (c *Conn) deliver() error {
	n, err := c.session.Receive(c.buf)
	if err != nil {
		c.loop.opts.Logf("transport: %s closed: %v", c.Remote(), err)
		c.flush() // what is owed already, such as the protocol's own error
		return err
	}
	c.compact(n)
	return nil
}

// Resume is part of Link. Where there is nothing left, there is nothing to do.
func (c *Conn) Resume() {
	if len(c.buf) == 0 {
		return
	}
	_ = c.loop.Execute(func() {
		if c.closed || c.closing {
			return
		}
		if err := c.deliver(); err != nil {
			c.Close()
		}
	})
}

// compact moves what is left to the front of the buffer; one that has grown large is let go once it is empty.
func (c *Conn) compact(n int) {
	left := copy(c.buf, c.buf[n:])
	c.buf = c.buf[:left]
	if left == 0 && cap(c.buf) > keepBuffer {
		c.buf = nil
	}
}

// OnClose ends the session.
func (l *Loop) OnClose(gc gnet.Conn, _ error) gnet.Action {
	c, ok := gc.Context().(*Conn)
	if !ok || c.closed {
		return gnet.None
	}
	l.touch()
	c.closed, c.buf, c.out = true, nil, nil
	c.count()
	delete(l.conns, c)
	c.session.Closed()
	return gnet.None
}

// Write is part of Link.
func (c *Conn) Write(p []byte) {
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
func (c *Conn) Close() {
	if c.closed || c.closing {
		return
	}
	c.mark()
	c.closing = true
}

func (c *Conn) mark() {
	if len(c.out) == 0 && !c.closing {
		c.loop.dirty = append(c.loop.dirty, c)
		c.loop.touch()
	}
}

func (c *Conn) flush() {
	if c.closed {
		return
	}
	if len(c.out) > 0 {
		out := c.out
		c.out = c.out[:0]
		if _, err := c.gc.Write(out); err != nil || c.closed {
			return // gnet has closed it
		}
		if cap(c.out) > keepBuffer {
			c.out = nil
		}
		// Guards the memory against a peer that asks and does not read.
		if n := c.gc.OutboundBuffered(); n > maxUnsent {
			c.loop.opts.Logf("transport: %s closed: %d bytes are unread", c.gc.RemoteAddr(), n)
			c.closing = true
		}
		c.count()
	}
	if c.closing {
		_ = c.loop.el.Close(c.gc)
	}
}

// Vouch is part of Link.
func (c *Conn) Vouch() { c.vouched = true }

// dismiss closes the strangers whose time is up; it returns when that of the next one is. Guards the places of the
// proxies against whoever connects and says nothing, or nothing that makes sense, or half of it.
func (l *Loop) dismiss() micro.Time {
	for len(l.strangers) > 0 {
		c := l.strangers[0]
		if !c.closed && !c.vouched {
			if l.now < c.since+strangerMax {
				return c.since + strangerMax
			}
			l.opts.Logf("transport: %s closed: nothing valid has come", c.Remote())
			c.Close()
		}
		l.strangers = l.strangers[1:]
	}
	l.strangers = nil
	return micro.Never
}

// makeRoom closes one accepted connection: the oldest stranger, or else the one that has been idle the longest.
func (l *Loop) makeRoom() bool {
	var last *Conn
	for _, c := range l.strangers {
		if !c.closed && !c.vouched {
			last = c
			break
		}
	}
	if last == nil {
		for c := range l.conns {
			if c.session.Idle() && c.active+busyLately <= l.now && (last == nil || c.active < last.active) {
				last = c
			}
		}
	}
	if last == nil {
		return false
	}
	l.opts.Logf("transport: %s closed to make room: %d connections are open", last.Remote(), len(l.conns))
	_ = l.el.Close(last.gc)
	return true
}

// count keeps the sum of what waits in all buffers. Guards the memory of a small machine, which many connections
// could exhaust with little each: whoever has the most waiting goes first.
func (c *Conn) count() {
	l, n := c.loop, cap(c.buf)+cap(c.out)
	if !c.closed {
		n += c.gc.OutboundBuffered()
	}
	l.waiting += n - c.counted
	c.counted = n
	if l.opts.Buffers == 0 || l.waiting <= l.opts.Buffers || c.closed {
		return
	}
	most := c
	for o := range l.conns {
		if !o.closing && o.counted > most.counted {
			most = o
		}
	}
	if most.accepted && !most.closing {
		l.opts.Logf("transport: %s closed: it has %d of %d bytes that wait in all buffers", most.Remote(), most.counted, l.waiting)
		most.out = nil
		most.Close()
	}
}

// Remote is part of Link.
func (c *Conn) Remote() string {
	if a := c.gc.RemoteAddr(); a != nil {
		return a.String()
	}
	return "a closed connection"
}

// dialled is the session of a dialled connection until that is open.
type dialled struct {
	loop    *Loop
	addr    string
	open    func(Link) Session
	wait    time.Duration
	dropped atomic.Bool // nobody wants it any more
}

// Dial opens a connection to addr on the loop; open gives its session. A link that cannot be opened is tried
// again after a while, longer each time, until it can, or until drop is called on the loop: open is not called
// after that.
func (l *Loop) Dial(addr string, open func(Link) Session) (drop func()) {
	k := &dialled{loop: l, addr: addr, open: open, wait: redialFirst}
	go k.dial()
	return func() { k.dropped.Store(true) }
}

func (k *dialled) dial() {
	for !k.loop.ended.Load() && !k.dropped.Load() {
		nc, err := net.DialTimeout("tcp", k.addr, dialTimeout)
		if err == nil {
			ctx := gnet.NewContext(gnet.NewNetConnContext(context.Background(), nc), &Conn{loop: k.loop, session: k})
			var res <-chan gnet.RegisteredResult
			if res, err = k.loop.engine.Register(ctx); err == nil {
				if r := <-res; r.Err == nil {
					return
				}
			} else {
				nc.Close() //nolint:errcheck // it was never used
			}
		}
		time.Sleep(k.wait)
		k.wait = min(2*k.wait, redialMost)
	}
}

// Receive and Closed are never called: a link gives way to its session as it opens.
func (k *dialled) Receive(in []byte) (int, error) { return len(in), nil }

// Closed is part of Session.
func (k *dialled) Closed() {}

// Idle is part of Session. No room is made of what we dialled.
func (k *dialled) Idle() bool { return false }

// Datagrams sets the peer of Send; empty: none. On an error the one before stays.
func (l *Loop) Datagrams(addr string) error {
	var c net.Conn
	if addr != "" {
		var err error
		if c, err = net.Dial("udp", addr); err != nil {
			return fmt.Errorf("transport: datagrams: %w", err)
		}
	}
	if l.udp != nil {
		_ = l.udp.Close()
	}
	l.udp = c
	return nil
}

// Send sends one datagram; it may be lost, as any may.
func (l *Loop) Send(p []byte) {
	if l.udp == nil {
		return
	}
	// A send may fail, unsent, for the refusal of the one before: the peer may be back since.
	if _, err := l.udp.Write(p); err != nil {
		_, _ = l.udp.Write(p)
	}
}

// quiet passes on gnet's warnings and errors.
type quiet struct {
	logf func(string, ...any)
}

func (q quiet) Debugf(string, ...any)     {}
func (q quiet) Infof(string, ...any)      {}
func (q quiet) Warnf(f string, a ...any)  { q.logf("gnet: "+f, a...) }
func (q quiet) Errorf(f string, a ...any) { q.logf("gnet: "+f, a...) }
func (q quiet) Fatalf(f string, a ...any) { q.logf("gnet: "+f, a...) }
