// Package sockets is the transport.Driver of the real program: gnet's event loop with listeners, accepted and dialled
// connections, a timer and datagrams. Command pewterline starts it, with internal/server as its handler. It owns the
// sockets and the goroutine of the loop; package transport makes all decisions about connections. No other package
// imports gnet.
//
// gnet has a callback for each ready connection, but none for the end of a poll. The end of a turn therefore relies on
// the order in which gnet's poller works: it first calls back for every descriptor that is ready, and then runs the
// tasks that were queued with Execute. So a task that is queued in the first callback of a turn runs after all
// callbacks of the same poll.
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
	// readBufferSize is the maximum number of bytes read at once from a connection.
	readBufferSize = 64 << 10
	// idleInterval is the interval of a timer or ticker that is not meant to fire.
	idleInterval = time.Hour
)

// errEndedEarly means that gnet returned without an error before its event loop ran.
var errEndedEarly = errors.New("the event loop ended during its start")

// Clock supplies the times of turns. Timers run on the system's clock.
type Clock interface {
	Now() microtime.Time
}

// Options configure a Loop.
type Options struct {
	transport.Options
	Listen       []string // addresses by the listener's index; an empty one has no listener
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
	ticked   bool          // gnet's ticker has ticked; used only by the ticker's goroutine
}

// Start opens the listeners and runs the loop on its own goroutine, which ends after Stop; Wait waits for its end.
// begin runs on the loop before any session.
func Start(options Options, handler transport.Handler, begin func(*transport.Loop)) (*Loop, error) {
	driver := &driver{options: options, ready: make(chan struct{}), done: make(chan error, 1)}
	driver.loop = transport.New(options.Options, driver, handler, begin)
	driver.timer = driver.newTimer()
	if err := driver.SetDatagramPeer(options.DatagramPeer); err != nil {
		return nil, err
	}
	go func() { driver.done <- driver.runGnet() }()
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

// newTimer returns the timer that begins turns. The timer is stopped.
func (d *driver) newTimer() *time.Timer {
	timer := time.AfterFunc(idleInterval, func() {
		if !d.stopping.Load() {
			_ = d.Queue(d.loop.TimerFired) // fails only if the loop has ended
		}
	})
	timer.Stop()
	return timer
}

// runGnet runs gnet's event loop until it is stopped, and returns its error.
func (d *driver) runGnet() error {
	var addrs []string
	for _, addr := range d.options.Listen {
		if addr != "" {
			addrs = append(addrs, "tcp://"+addr)
		}
	}
	return gnet.Rotate(d, addrs,
		gnet.WithNumEventLoop(1),
		// With SO_REUSEPORT gnet accepts on the loop that serves; without it, a separate loop accepts.
		gnet.WithReusePort(true),
		gnet.WithReuseAddr(true),
		gnet.WithTicker(true),
		gnet.WithReadBufferCap(readBufferSize),
		gnet.WithTCPNoDelay(gnet.TCPNoDelay),
		gnet.WithLogger(gnetLogger{d.options.Logf}),
		gnet.WithLogLevel(logging.WarnLevel))
}

// awaitReady returns nil once the loop runs, or an error if it has ended before that.
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

// Stop implements transport.Driver; Wait returns after it.
func (d *driver) Stop() {
	if d.stopping.Swap(true) {
		return
	}
	// engine.Stop waits for the loop, so it runs on its own goroutine. Its error is ignored: without a deadline it can
	// only be the loop's error, which Wait returns as well.
	go func() { _ = d.engine.Stop(context.Background()) }()
}

// task adapts a function to gnet.Runnable.
type task func()

// Run implements gnet.Runnable.
func (t task) Run(context.Context) error {
	t()
	return nil
}

// Queue implements transport.Driver.
func (d *driver) Queue(f func()) error { return d.eventLoop.Execute(context.Background(), task(f)) }

// Now implements transport.Driver.
func (d *driver) Now() microtime.Time { return d.options.Clock.Now() }

// Rand implements transport.Driver.
func (d *driver) Rand() uint64 { return rand.Uint64() }

// SetTimer implements transport.Driver.
func (d *driver) SetTimer(at microtime.Time) {
	if at == microtime.Never {
		d.timer.Stop()
	} else {
		d.timer.Reset(max(at-d.options.Clock.Now(), 0).Duration())
	}
}
