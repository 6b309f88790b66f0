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
	// maxPendingSignals leaves room for several, so that none is lost behind another.
	maxPendingSignals = 8
	// maxPendingReloads are many for one that reads files.
	maxPendingReloads = 8
)

// signalWatcher tells the process's signals apart as they come: the first that asks for the end is kept with its time,
// as whoever sent it counts from then; each SIGHUP is a reload. Each kind waits by itself, so that the end does not
// wait for the start, or for a file that is slow to read.
type signalWatcher struct {
	clock    microtime.Clock
	logger   *zap.Logger
	signals  chan os.Signal
	shutdown chan microtime.Time
	reloads  chan struct{}
	ended    chan struct{} // closed by stop; ends all goroutines of the watcher
}

// watchSignals takes over the process's signals until stop.
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
	go w.sort()
	return w
}

// stop gives the signals back and ends the watcher's goroutines. It is called once.
func (w *signalWatcher) stop() {
	close(w.ended)
	signal.Stop(w.signals)
}

// shutdownRequested reports whether a signal has asked for the end. It takes that signal, which obey does not get.
func (w *signalWatcher) shutdownRequested() bool {
	select {
	case <-w.shutdown:
		return true
	default:
		return false
	}
}

// sort runs in a goroutine of its own until stop.
func (w *signalWatcher) sort() {
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
	default: // it has been told before
	}
}

func (w *signalWatcher) queueReload() {
	select {
	case w.reloads <- struct{}{}:
	default: // one that waits reads what is there by then
	}
}

// executor is the event loop, as signals need it.
type executor interface {
	// Execute runs a function on the loop; an error says that the loop has ended.
	Execute(func()) error
}

// signalTarget is the server that obeys the signals.
type signalTarget struct {
	loop   executor
	server *server.Server
	getenv func(string) string
}

// obey has the server do what the signals ask for, in two goroutines that run until stop.
func (w *signalWatcher) obey(target signalTarget) {
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

// reload reads and checks all files before anything changes: a faulty one must not harm a running server.
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

// execute runs a function on the loop. Where that has ended, the process is about to end and the signal is moot.
func (t signalTarget) execute(logger *zap.Logger, f func()) {
	if err := t.loop.Execute(f); err != nil {
		logger.Warn("signal came too late", zap.Error(err))
	}
}
