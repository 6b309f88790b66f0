package main

import (
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"

	"pewterline/internal/config"
	"pewterline/internal/microtime"
	"pewterline/internal/server"
)

const (
	// maxPendingSignals is the buffer size for signal.Notify, which drops signals when the buffer is full.
	maxPendingSignals = 8
	// maxPendingReloads is the most reloads that may be queued while one is in progress.
	maxPendingReloads = 8
)

// signalWatcher receives the process's signals. The time of the first SIGTERM or SIGINT is recorded, because the
// shutdown budget counts from then; each SIGHUP requests a reload. The two kinds are queued separately, so that a
// shutdown does not wait for a slow reload.
type signalWatcher struct {
	clock    microtime.Clock
	logger   *zap.Logger
	signals  chan os.Signal
	shutdown chan microtime.Time
	reloads  chan struct{}
	ended    chan struct{} // closed by stop; ends all goroutines of the watcher
}

// watchSignals starts to receive the process's signals, until stop.
func watchSignals(clock microtime.Clock, logger *zap.Logger) *signalWatcher {
	w := &signalWatcher{
		clock:    clock,
		logger:   logger,
		signals:  make(chan os.Signal, maxPendingSignals),
		shutdown: make(chan microtime.Time, 1),
		reloads:  make(chan struct{}, maxPendingReloads),
		ended:    make(chan struct{}),
	}
	signal.Notify(w.signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go w.dispatch()
	return w
}

// stop stops receiving signals and ends the watcher's goroutines. It must be called once.
func (w *signalWatcher) stop() {
	close(w.ended)
	signal.Stop(w.signals)
}

// shutdownRequested reports whether a shutdown signal has been received. It consumes the signal, so that the target of
// handle does not get it.
func (w *signalWatcher) shutdownRequested() bool {
	select {
	case <-w.shutdown:
		return true
	default:
		return false
	}
}

// dispatch queues each signal by its kind. It runs on its own goroutine until stop.
func (w *signalWatcher) dispatch() {
	for {
		select {
		case <-w.ended:
			return
		case sig := <-w.signals:
			if sig == syscall.SIGHUP {
				w.queueReload()
			} else {
				w.queueShutdown(sig)
			}
		}
	}
}

func (w *signalWatcher) queueShutdown(sig os.Signal) {
	select {
	case w.shutdown <- w.clock.Now():
		w.logger.Info("told to stop", zap.Stringer("signal", sig))
	default: // an earlier shutdown signal is queued
	}
}

func (w *signalWatcher) queueReload() {
	select {
	case w.reloads <- struct{}{}:
	default: // a queued reload reads the newest file
	}
}

// executor is the part of the event loop that signals need.
type executor interface {
	// Execute runs a function on the loop. It fails only if the loop has ended.
	Execute(func()) error
}

// signalTarget is the server to which the signals apply.
type signalTarget struct {
	loop   executor
	server *server.Server
	getenv func(string) string
}

// handle applies the signals to a server, on two goroutines that run until stop.
func (w *signalWatcher) handle(target signalTarget) {
	go func() {
		for {
			select {
			case <-w.ended:
				return
			case <-w.reloads:
				target.reload(w.logger)
			}
		}
	}()
	go func() {
		for {
			select {
			case <-w.ended:
				return
			case at := <-w.shutdown:
				target.execute(w.logger, func() { target.server.Shutdown(at) })
			}
		}
	}()
}

// reload reads and checks all files before it changes anything, so that an invalid file cannot harm a running server.
func (t signalTarget) reload(logger *zap.Logger) {
	cfg, err := config.Load(t.getenv)
	if err != nil {
		logReloadRejected(logger, err)
		t.execute(logger, t.server.ReloadRejected)
		return
	}
	t.execute(logger, func() {
		if err := t.server.Reload(cfg); err != nil {
			logReloadRejected(logger, err)
		}
	})
}

func logReloadRejected(logger *zap.Logger, err error) {
	logger.Error("reload rejected, nothing has changed", zap.Error(err))
}

// execute runs a function on the loop. If the loop has ended, the process is about to end, and the signal has no
// effect.
func (t signalTarget) execute(logger *zap.Logger, f func()) {
	if err := t.loop.Execute(f); err != nil {
		logger.Warn("signal ignored, the event loop has ended", zap.Error(err))
	}
}
