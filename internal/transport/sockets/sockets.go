// Package sockets is the driver of the real program: gnet's event loop, with listeners, connections, dialled links,
// a timer and datagrams. Nothing else imports gnet.
//
// gnet calls back for each connection and tells nobody when a round of its poller is over. A turn is made from
// how its poller works: it first calls back for every descriptor that is ready, and runs the tasks that were
// queued with Execute after that. So what is queued in the first callback of a turn runs behind all that was ready
// with it.
package sockets

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/panjf2000/gnet/v2/pkg/logging"
	"golang.org/x/sys/unix"

	"pewterline/internal/microtime"
	"pewterline/internal/transport"
)

const readBuffer = 64 << 10

// Clock tells the time of a turn. Timers run by the system's own clock.
type Clock interface {
	Now() microtime.Time
}

// Options say what a Loop serves.
type Options struct {
	transport.Options
	Listen       []string // addresses, in the order of Handler.Accept's index; an empty one has no listener
	DatagramPeer string   // the peer of Send; empty: none
	Clock        Clock
}

// Loop is transport's loop on real sockets.
type Loop struct {
	*transport.Loop
	d *driver
}

// driver is part of transport.Driver.
type driver struct {
	gnet.BuiltinEventEngine
	opts   Options
	loop   *transport.Loop
	engine gnet.Engine
	el     gnet.EventLoop // from the first connection on
	timer  *time.Timer
	bound  []bound
	udp    net.Conn
	ended  atomic.Bool
	up     chan struct{}
	done   chan error
	ticked bool // of gnet's ticker alone
}

// Start opens the listeners and runs the loop; begin comes first on it, before any session.
func Start(opts Options, h transport.Handler, begin func(*transport.Loop)) (*Loop, error) {
	d := &driver{opts: opts, up: make(chan struct{}), done: make(chan error, 1)}
	d.loop = transport.New(opts.Options, d, h, begin)
	d.timer = time.AfterFunc(time.Hour, func() {
		if !d.ended.Load() {
			_ = d.Queue(d.loop.TimerFired)
		}
	})
	d.timer.Stop()
	if err := d.SetDatagramPeer(opts.DatagramPeer); err != nil {
		return nil, err
	}
	var addrs []string
	for _, a := range opts.Listen {
		if a != "" {
			addrs = append(addrs, "tcp://"+a)
		}
	}
	go func() {
		// SO_REUSEPORT makes gnet accept on the loop that serves; without it, a second loop only accepts.
		d.done <- gnet.Rotate(d, addrs, gnet.WithNumEventLoop(1), gnet.WithReusePort(true), gnet.WithReuseAddr(true), gnet.WithTicker(true),
			gnet.WithReadBufferCap(readBuffer), gnet.WithTCPNoDelay(gnet.TCPNoDelay), gnet.WithLogger(quiet{opts.Logf}),
			gnet.WithLogLevel(logging.WarnLevel))
	}()
	select {
	case <-d.up:
	case err := <-d.done:
		if err == nil {
			err = errors.New("the loop ended at once")
		}
		return nil, fmt.Errorf("transport: listen: %w", err)
	}
	l := &Loop{d.loop, d}
	if err := d.enrolSelf(); err != nil {
		l.Stop()
		return nil, fmt.Errorf("transport: %w", err)
	}
	return l, nil
}

// enrolSelf has the loop begin: gnet gives its handle only by a connection, so a datagram socket of our own is
// enrolled for as long as that takes.
func (d *driver) enrolSelf() error {
	c, err := net.Dial("udp", d.bound[0].addr.String()) // our own address: nothing is sent
	if err != nil {
		return fmt.Errorf("datagram socket: %w", err)
	}
	res, err := d.engine.Register(gnet.NewContext(gnet.NewNetConnContext(context.Background(), c), enrolling{}))
	if err != nil {
		return fmt.Errorf("enrol: %w", err)
	}
	r := <-res
	if r.Err != nil {
		return fmt.Errorf("enrol: %w", r.Err)
	}
	return d.loop.Execute(func() { _ = d.el.Close(r.Conn) })
}

// enrolling is the context of the loop's own socket.
type enrolling struct{}

// Addr is the address that the listener of that index got.
func (l *Loop) Addr(i int) *net.TCPAddr { return l.d.bound[i].addr }

// Wait returns when the loop has ended.
func (l *Loop) Wait() error {
	err := <-l.d.done
	l.d.timer.Stop()
	return err
}

// Stop is part of transport.Driver; Wait returns after it.
func (d *driver) Stop() {
	if d.ended.Swap(true) {
		return
	}
	go func() { _ = d.engine.Stop(context.Background()) }()
}

type task func()

func (t task) Run(context.Context) error {
	t()
	return nil
}

// Queue is part of transport.Driver.
func (d *driver) Queue(f func()) error { return d.el.Execute(context.Background(), task(f)) }

// Now is part of transport.Driver.
func (d *driver) Now() microtime.Time { return d.opts.Clock.Now() }

// Rand is part of transport.Driver.
func (d *driver) Rand() uint64 { return rand.Uint64() }

// SetTimer is part of transport.Driver.
func (d *driver) SetTimer(at microtime.Time) {
	if at == microtime.Never {
		d.timer.Stop()
	} else {
		d.timer.Reset(max(at-d.opts.Clock.Now(), 0).Duration())
	}
}

// OnBoot notes the engine and the listeners' addresses.
func (d *driver) OnBoot(e gnet.Engine) gnet.Action {
	d.engine = e
	for _, a := range d.opts.Listen {
		var b bound
		if a != "" {
			var err error
			if b, err = find(e, a); err != nil {
				d.opts.Logf("transport: %s: %v", a, err)
			}
		}
		d.bound = append(d.bound, b)
	}
	return gnet.None
}

// bound is what the system gave a listener.
type bound struct {
	addr *net.TCPAddr // nil: there is none
	fd   int          // gnet's descriptor of it; 0: not found
}

// OnTick is first called once the loop runs: from then on gnet can be given connections.
func (d *driver) OnTick() (time.Duration, gnet.Action) {
	if !d.ticked {
		d.ticked = true
		close(d.up)
	}
	return time.Hour, gnet.None
}

// find asks the system where a listener is bound, as its port may have been left to it.
func find(e gnet.Engine, a string) (b bound, err error) {
	fd, err := e.DupListener("tcp", a)
	if err != nil {
		return b, err
	}
	defer unix.Close(fd) //nolint:errcheck // a copy
	if b.addr = localAddr(fd); b.addr == nil {
		return b, errors.New("the listener has no address")
	}
	b.fd, err = original(fd, b.addr)
	return b, err
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

// socket is one connection of gnet's; its context.
type socket struct {
	d    *driver
	gc   gnet.Conn
	conn *transport.Connection
	dial *transport.Dial // while it is being opened; nil: it came to a listener
	to   int             // that listener
	shut bool
}

// OnOpen gives a new connection its session.
func (d *driver) OnOpen(gc gnet.Conn) ([]byte, gnet.Action) {
	// Guards against a caller that connects as soon as the port listens, ahead of our own socket: the program
	// behind the loop must have begun.
	if d.el == nil {
		d.el = gc.EventLoop()
		d.loop.Begin()
	}
	// Guards against taking the loop's own socket for a caller, by a mark of ours: where the system tells no address
	// of a datagram socket that has sent nothing, gnet has none either, and asking it for its network is a crash.
	if _, own := gc.Context().(enrolling); own {
		return nil, gnet.None
	}
	s, ours := gc.Context().(*socket)
	if !ours {
		s = &socket{d: d, to: d.listenerOf(gc)}
		gc.SetContext(s)
	} else {
		_ = gc.SetNoDelay(true) // as the listeners have it
	}
	if s.gc = gc; s.dial != nil {
		s.conn = d.loop.Connected(s.dial, s)
	} else {
		s.conn = d.loop.Accept(s, s.to)
	}
	if s.conn == nil {
		return nil, gnet.Close
	}
	return nil, gnet.None
}

// listenerOf finds the listener by the port that the connection came to.
func (d *driver) listenerOf(gc gnet.Conn) int {
	if local := localAddr(gc.Fd()); local != nil {
		for i, b := range d.bound {
			if a := b.addr; a != nil && a.Port == local.Port && (a.IP.Equal(local.IP) || a.IP.IsUnspecified()) {
				return i
			}
		}
	}
	return 0
}

// OnTraffic hands on what was read.
func (d *driver) OnTraffic(gc gnet.Conn) gnet.Action {
	s, ok := gc.Context().(*socket)
	if !ok || s.conn == nil {
		_, _ = gc.Discard(-1)
		return gnet.None
	}
	in, err := gc.Next(-1)
	if err == nil && !s.conn.Received(in) {
		return gnet.Close
	}
	return gnet.None
}

// OnClose ends the connection.
func (d *driver) OnClose(gc gnet.Conn, _ error) gnet.Action {
	if s, ok := gc.Context().(*socket); ok && s.conn != nil {
		s.conn.Ended()
	}
	return gnet.None
}

// Write is part of transport.Wire.
func (s *socket) Write(p []byte) error {
	_, err := s.gc.Write(p)
	return err
}

// Unsent is part of transport.Wire.
func (s *socket) Unsent() int { return s.gc.OutboundBuffered() }

// CloseWrite is part of transport.Wire.
func (s *socket) CloseWrite() {
	if s.shut || s.gc.OutboundBuffered() > 0 {
		return
	}
	s.shut = true
	if unix.Shutdown(s.gc.Fd(), unix.SHUT_WR) != nil {
		s.Close() // the peer has reset it
	}
}

// Close is part of transport.Wire.
func (s *socket) Close() { _ = s.d.el.Close(s.gc) }

// Remote is part of transport.Wire.
func (s *socket) Remote() string {
	if a := s.gc.RemoteAddr(); a != nil {
		return a.String()
	}
	return "a closed connection"
}

// Dial is part of transport.Driver. Only the waiting is done off the loop.
func (d *driver) Dial(k *transport.Dial) {
	go func() {
		if d.dial(k) != nil {
			_ = d.Queue(func() { d.loop.DialFailed(k) })
		}
	}()
}

func (d *driver) dial(k *transport.Dial) error {
	nc, err := net.DialTimeout("tcp", k.Addr(), transport.DialTimeout)
	if err != nil {
		return err
	}
	return d.register(nc, &socket{d: d, dial: k})
}

// Adopt takes up a connection that was opened off the loop; open gives its session.
func (l *Loop) Adopt(nc net.Conn, open func(transport.Conn) transport.Session) error {
	return l.d.register(nc, &socket{d: l.d, dial: l.Adopted(open)})
}

// Serve accepts on a listener of another kind than gnet's, as the one of that index, until it is closed. gnet has no Unix
// sockets beside listeners with SO_REUSEPORT. Only the waiting is done off the loop.
func (l *Loop) Serve(ln net.Listener, index int) {
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			if err := l.d.register(nc, &socket{d: l.d, to: index}); err != nil {
				l.d.opts.Logf("transport: %v", err)
			}
		}
	}()
}

func (d *driver) register(nc net.Conn, s *socket) error {
	res, err := d.engine.Register(gnet.NewContext(gnet.NewNetConnContext(context.Background(), nc), s))
	if err != nil {
		return fmt.Errorf("enrol: %w", errors.Join(err, nc.Close())) // it was never used
	}
	return (<-res).Err
}

// Steer has the kernel give new connections to the listener of that index to the process that came to listen there at that
// place, counted from 0, of those that share its address by SO_REUSEPORT. Where there is no such place, it picks as it always
// does.
func (l *Loop) Steer(index, place int) error {
	fd, err := l.d.engine.DupListener("tcp", l.d.opts.Listen[index])
	if err != nil {
		return fmt.Errorf("transport: steer: %w", err)
	}
	defer unix.Close(fd) //nolint:errcheck // a copy
	const giveBack = unix.BPF_RET | unix.BPF_K
	filter := []unix.SockFilter{{Code: giveBack, K: uint32(place)}}
	if err := unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_REUSEPORT_CBPF, &unix.SockFprog{Len: 1, Filter: &filter[0]}); err != nil {
		return fmt.Errorf("transport: steer: %w", err)
	}
	return nil
}

// acceptBatch is how many connections that wait at a listener are taken up at once. Each holds three descriptors until gnet has
// it; guards against running out of them, upon which gnet would give up.
const acceptBatch = 4

// CloseListener is part of transport.Driver. New handshakes are kept out first, so that nobody can come between the last look at the
// queue and the close: whoever asks meanwhile is not answered, and is refused when it asks again. Those under way come to their
// end. What waits is accepted here, as gnet accepts one in a round of its poller and can't be told to do so.
func (d *driver) CloseListener(listener int, done func()) {
	fd, err := d.engine.DupListener("tcp", d.opts.Listen[listener])
	if err == nil && d.bound[listener].fd == 0 {
		err = errors.Join(errors.New("the listener can't be ended"), unix.Close(fd))
	}
	if err != nil {
		d.opts.Logf("transport: close listener: %v", err)
		done()
		return
	}
	const flags, syn = 13, 0x02 // in a TCP header
	keepOut := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: flags},
		{Code: unix.BPF_JMP | unix.BPF_JSET | unix.BPF_K, K: syn, Jf: 1},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0},
		{Code: unix.BPF_RET | unix.BPF_K, K: math.MaxUint32},
	}
	// Not every system has it: what comes between the last look and the close is then reset.
	_ = unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: uint16(len(keepOut)), Filter: &keepOut[0]})
	d.closeListener(fd, listener, 0, done)
}

func (d *driver) closeListener(fd, listener, round int, done func()) {
	waiting, err := acceptSome(fd)
	if err != nil {
		d.opts.Logf("transport: close listener: %v", err)
	}
	if round > 0 && len(waiting) == 0 {
		if err := d.endListener(fd, listener); err != nil {
			d.opts.Logf("transport: close listener: %v", err)
		}
		done()
		return
	}
	go func() { // gnet takes up off the loop what was opened elsewhere
		for _, nc := range waiting {
			if err := d.register(nc, &socket{d: d, to: listener}); err != nil {
				d.opts.Logf("transport: close listener: %v", err)
			}
		}
		if d.Queue(func() { d.closeListener(fd, listener, round+1, done) }) != nil {
			_ = unix.Close(fd) // the loop has ended
		}
	}()
}

// acceptSome accepts what waits at a listener, a batch at most.
func acceptSome(fd int) (out []net.Conn, err error) {
	for len(out) < acceptBatch {
		c, _, err := unix.Accept4(fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		switch err {
		case nil:
		case unix.EINTR, unix.ECONNABORTED, unix.ECONNRESET:
			continue
		case unix.EAGAIN:
			return out, nil
		default:
			return out, fmt.Errorf("accept: %w", err)
		}
		file := os.NewFile(uintptr(c), "connection")
		nc, err := net.FileConn(file) // a copy
		if err = errors.Join(err, file.Close()); err != nil {
			return out, err
		}
		out = append(out, nc)
	}
	return out, nil
}

// endListener closes the listener that fd is a copy of, and fd. gnet can't let go of one while it serves: another file takes its
// descriptor, which takes it out of the poller, and gnet closes that in the end.
func (d *driver) endListener(fd, listener int) error {
	if err := unix.Close(fd); err != nil {
		return err
	}
	other, err := unix.Socket(unix.AF_INET, unix.SOCK_DGRAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return err
	}
	defer unix.Close(other) //nolint:errcheck // its copy stays
	return unix.Dup3(other, d.bound[listener].fd, unix.O_CLOEXEC)
}

// descriptorsMost is how many are looked through for a listener's, which is one of the first.
const descriptorsMost = 1024

// original finds the descriptor that fd, of a listener, is a copy of. It is called before anybody is accepted, whose connection
// would have the same address.
func original(fd int, addr *net.TCPAddr) (int, error) {
	for n := range descriptorsMost {
		if have := localAddr(n); n == fd || have == nil || have.Port != addr.Port || !have.IP.Equal(addr.IP) {
			continue
		}
		if kind, err := unix.GetsockoptInt(n, unix.SOL_SOCKET, unix.SO_TYPE); err == nil && kind == unix.SOCK_STREAM {
			return n, nil
		}
	}
	return 0, errors.New("the listener's descriptor is not found")
}

// SetDatagramPeer is part of transport.Driver.
func (d *driver) SetDatagramPeer(addr string) error {
	var c net.Conn
	if addr != "" {
		var err error
		if c, err = net.Dial("udp", addr); err != nil {
			return fmt.Errorf("transport: datagrams: %w", err)
		}
	}
	if d.udp != nil {
		_ = d.udp.Close()
	}
	d.udp = c
	return nil
}

// SendDatagram is part of transport.Driver.
func (d *driver) SendDatagram(p []byte) {
	if d.udp == nil {
		return
	}
	// A send may fail, unsent, for the refusal of the one before: the peer may be back since.
	if _, err := d.udp.Write(p); err != nil {
		_, _ = d.udp.Write(p)
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
