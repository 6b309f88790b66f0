package main

import (
	"fmt"
	"net"
	"runtime/debug"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"pewterline/internal/config"
	"pewterline/internal/server"
	"pewterline/internal/transport/sockets"
)

const (
	// minSharedConnections are the connections that a new process takes, however many the old one has.
	minSharedConnections = 8
	// orphanCheckTimeout bounds the check whether a lost predecessor still lives.
	orphanCheckTimeout = time.Second
)

// processHost is the server.ProcessHost of this process: it does what a hot restart asks of the operating system.
type processHost struct {
	cfg             config.Config
	logger          *zap.Logger
	limits          loopLimits // of a process that is alone
	loop            atomic.Pointer[sockets.Loop]
	successors      net.Listener // nil: no successor can come
	predecessorPath string       // of its socket; empty: there was none
	others          int          // connections of the other process, as last told
	orphaned        atomic.Bool  // the connection to a predecessor that lives is lost
}

func newProcessHost(cfg config.Config, logger *zap.Logger) *processHost {
	return &processHost{cfg: cfg, logger: logger, limits: socketLimits(cfg)}
}

// use gives the host its loop, which may run already.
func (h *processHost) use(loop *sockets.Loop) error {
	h.loop.Store(loop)
	if h.successors != nil {
		loop.Serve(h.successors, server.HandoffListener)
	}
	if h.predecessorPath == "" {
		return nil
	}
	return loop.Execute(func() { h.ShareLimits(h.others) })
}

// SteerListeners is part of server.ProcessHost. The listeners for proxies and web servers are steered; operators call
// each process at its own address.
func (h *processHost) SteerListeners(process int) {
	loop := h.loop.Load()
	if loop == nil {
		return // a successor that comes before this process serves shares the port as the kernel picks
	}
	for i, addr := range []string{server.ThriftListener: h.cfg.Listen, server.AJPListener: h.cfg.AJP.Listen} {
		if addr == "" {
			continue
		}
		if err := loop.DirectConnections(i, process); err != nil {
			h.logger.Warn("the kernel picks between both processes", zap.String("address", addr), zap.Error(err))
		}
	}
}

// ShareLimits is part of server.ProcessHost. Two processes have the descriptors and the memory of one: each keeps to
// half of the places, and the new one to less where the old one has more in use.
func (h *processHost) ShareLimits(others int) {
	h.others = others
	alone := others < 0
	heap := h.cfg.MemoryLimit / heapShare
	if !alone {
		heap /= 2
	}
	debug.SetMemoryLimit(heap)
	loop := h.loop.Load()
	switch {
	case loop == nil: // use comes later
	case alone:
		loop.SetLimits(h.limits.connections, h.limits.buffered)
	default:
		both := h.limits.connections - spareSockets - vaultConns(h.cfg)
		loop.SetLimits(max(min(both/2, both-others), minSharedConnections), h.limits.buffered/2)
	}
}

// Orphaned is part of server.ProcessHost. The connection may have broken between two processes that both live: this one
// must not take the other for dead then, nor serve beside it.
func (h *processHost) Orphaned() { go h.checkPredecessor() }

// checkPredecessor ends this process if the predecessor still lives. It runs once, in a goroutine of its own.
func (h *processHost) checkPredecessor() {
	time.Sleep(predecessorRetryInterval) // a process that dies closes its sockets one after the other
	conn, err := net.DialTimeout("unix", h.predecessorPath, orphanCheckTimeout)
	if err != nil {
		h.logger.Info("predecessor has died, this process owns the keys")
		return
	}
	_ = conn.Close() // it only had to open
	h.orphaned.Store(true)
	h.loop.Load().Stop()
}

// err returns why the loop was stopped by the host; nil: it was not.
func (h *processHost) err() error {
	if h.orphaned.Load() {
		return fmt.Errorf("%w: the link to it is lost", errNotOurs)
	}
	return nil
}
