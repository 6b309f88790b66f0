// Package sockets is the transport.Driver of the real program: gnet's event loop with listeners, connections, dialled
// connections, a timer and datagrams. Command pewterline starts it, with internal/server as its handler. It owns the
// sockets and the goroutine of the loop, and decides nothing about connections: that is package transport's. Nothing
// else imports gnet. gnet has a callback for each ready connection, but none for the end of a round of its poller. The
// end of a turn relies on how the poller works: it first calls back for every descriptor that is ready, and then runs
// the tasks that were queued with Execute. So a task that is queued in the first callback of a turn runs after all
// callbacks of that round.
package sockets

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/panjf2000/gnet/v2/pkg/logging"

	"pewterline/internal/microtime"
	"pewterline/internal/transport"
)

const (
	// readBuffer is how many bytes are read at once from a connection.
	readBuffer = 64 << 10
	// unarmed is the interval of a timer that should not fire.
	unarmed = time.Hour
)

// errEndedEarly means that gnet returned without an error before its event loop ran.
var errEndedEarly = errors.New("the event loop ended as it began")

// Clock is the source of the times of turns. Timers run by the system's own clock.
type Clock interface {
	Now() microtime.Time
}

// Options configure a Loop.
type Options struct {
	transport.Options
	Listen       []string // addresses, in the order of Handler.Accept's index; an empty one has no listener
	DatagramPeer string   // the peer of SendDatagram; empty: none
	Clock        Clock
}

// Loop is transport's event loop on real sockets.
type Loop struct {
	*transport.Loop
	driver *driver
}

// driver implements transport.Driver and gnet's event handler. Its fields are used only on the loop, except those whose
// comment says otherwise.
type driver struct {
	gnet.BuiltinEventEngine
	options   Options
	loop      *transport.Loop
	engine    gnet.Engine    // set by OnBoot; its methods are safe for concurrent use
	eventLoop gnet.EventLoop // set with the first connection
	timer     *time.Timer
	listeners []listener
	datagrams net.Conn // nil: no peer is set

	stopping atomic.Bool
	ready    chan struct{} // closed once the loop runs
	done     chan error    // receives the result of the loop's goroutine
	ticked   bool          // gnet's ticker has ticked; the ticker's goroutine alone uses it
}

// Start opens the listeners and runs the loop on a goroutine of its own, which ends after Stop. Wait waits for that.
// begin runs first on the loop, before any session.
func Start(options Options, handler transport.Handler, begin func(*transport.Loop)) (*Loop, error) {
	driver := &driver{options: options, ready: make(chan struct{}), done: make(chan error, 1)}
	driver.loop = transport.New(options.Options, driver, handler, begin)
	driver.timer = driver.newTimer()
	if err := driver.SetDatagramPeer(options.DatagramPeer); err != nil {
		return nil, err
	}
	go func() { driver.done <- driver.rotate() }()
	if err := driver.awaitReady(); err != nil {
		return nil, fmt.Errorf("transport: listen: %w", err)
	}
	loop := &Loop{Loop: driver.loop, driver: driver}
	if err := driver.captureEventLoop(); err != nil {
		loop.Stop()
		return nil, fmt.Errorf("transport: %w", err)
	}
	return loop, nil
}

// newTimer returns the timer of turns, stopped.
func (d *driver) newTimer() *time.Timer {
	timer := time.AfterFunc(unarmed, func() {
		if !d.stopping.Load() {
			_ = d.Queue(d.loop.TimerFired) // an error says that the loop has ended
		}
	})
	timer.Stop()
	return timer
}

// rotate runs gnet until it is stopped, and returns its error.
func (d *driver) rotate() error {
	var addrs []string
	for _, addr := range d.options.Listen {
		if addr != "" {
			addrs = append(addrs, "tcp://"+addr)
		}
	}
	return gnet.Rotate(d, addrs,
		gnet.WithNumEventLoop(1),
		// SO_REUSEPORT makes gnet accept on the loop that serves; without it, a second loop only accepts.
		gnet.WithReusePort(true),
		gnet.WithReuseAddr(true),
		gnet.WithTicker(true),
		gnet.WithReadBufferCap(readBuffer),
		gnet.WithTCPNoDelay(gnet.TCPNoDelay),
		gnet.WithLogger(gnetLogger{d.options.Logf}),
		gnet.WithLogLevel(logging.WarnLevel))
}

// awaitReady returns nil once the loop runs, or the error with which it ended before.
func (d *driver) awaitReady() error {
	select {
	case <-d.ready:
		return nil
	case err := <-d.done:
		if err == nil {
			err = errEndedEarly
		}
		return err
	}
}

// Wait waits until the loop has ended, and returns its error.
func (l *Loop) Wait() error {
	err := <-l.driver.done
	l.driver.timer.Stop()
	return err
}

// Stop is part of transport.Driver; Wait returns after it.
func (d *driver) Stop() {
	if d.stopping.Swap(true) {
		return
	}
	// On a goroutine of its own, because it waits for the loop. Its error is ignored: without a deadline it can only
	// repeat the loop's own error, which Wait returns.
	go func() { _ = d.engine.Stop(context.Background()) }()
}

// task adapts a function to gnet.Runnable.
type task func()

// Run is part of gnet.Runnable.
func (t task) Run(context.Context) error {
	t()
	return nil
}

// Queue is part of transport.Driver.
func (d *driver) Queue(f func()) error { return d.eventLoop.Execute(context.Background(), task(f)) }

// Now is part of transport.Driver.
func (d *driver) Now() microtime.Time { return d.options.Clock.Now() }

// Rand is part of transport.Driver.
func (d *driver) Rand() uint64 { return rand.Uint64() }

// SetTimer is part of transport.Driver.
func (d *driver) SetTimer(at microtime.Time) {
	if at == microtime.Never {
		d.timer.Stop()
	} else {
		d.timer.Reset(max(at-d.options.Clock.Now(), 0).Duration())
	}
}
