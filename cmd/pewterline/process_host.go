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
	// minSharedConnections is the lowest connection limit of a process that shares its limits with another one.
	minSharedConnections = 8
	// orphanCheckTimeout is the timeout of the check whether a lost predecessor is still running.
	orphanCheckTimeout = time.Second
)

// processHost is the server.ProcessHost of this process: it performs the parts of a hot restart that involve the
// operating system.
type processHost struct {
	cfg             config.Config
	logger          *zap.Logger
	limits          loopLimits // of a process that runs alone
	loop            atomic.Pointer[sockets.Loop]
	successors      net.Listener // accepts successors; nil: this process cannot hand over
	predecessorPath string       // of the predecessor's socket; empty: there was no predecessor
	others          int          // connections of the other process, as last reported; negative: there is none
	orphaned        atomic.Bool  // the connection to a predecessor that still runs is lost
}

func newProcessHost(cfg config.Config, logger *zap.Logger) *processHost {
	return &processHost{cfg: cfg, logger: logger, limits: socketLimits(cfg)}
}

// attach sets the host's loop, which may be running already.
func (h *processHost) attach(loop *sockets.Loop) error {
	h.loop.Store(loop)
	if h.successors != nil {
		loop.Serve(h.successors, server.HandoffListener)
	}
	if h.predecessorPath == "" {
		return nil
	}
	return loop.Execute(func() { h.ShareLimits(h.others) })
}

// SteerListeners is part of server.ProcessHost. It concerns the listeners for proxies and web servers; operators call
// each process at its own address.
func (h *processHost) SteerListeners(process int) {
	loop := h.loop.Load()
	if loop == nil {
		return // not serving yet: the kernel distributes connections between both processes
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

// ShareLimits is part of server.ProcessHost. Two processes share the limits of one: each gets half of the connections,
// and the new one gets less if the old one has more than half in use.
func (h *processHost) ShareLimits(others int) {
	h.others = others
	alone := others < 0
	heap := h.cfg.MemoryLimit / heapLimitDivisor
	if !alone {
		heap /= 2
	}
	debug.SetMemoryLimit(heap)
	loop := h.loop.Load()
	switch {
	case loop == nil: // attach applies the limits later
	case alone:
		loop.SetLimits(h.limits.connections, h.limits.buffered)
	default:
		both := h.limits.connections - reservedSockets - vaultConns(h.cfg)
		loop.SetLimits(max(min(both/2, both-others), minSharedConnections), h.limits.buffered/2)
	}
}

// Orphaned is part of server.ProcessHost. If the predecessor has died, this process serves in its place. But the
// connection may also break while both processes run; then this one must end, because only one of them may own the
// keys.
func (h *processHost) Orphaned() { go h.checkPredecessor() }

// checkPredecessor ends this process if the predecessor is still running. It runs once, on its own goroutine.
func (h *processHost) checkPredecessor() {
	time.Sleep(predecessorRetryInterval) // a process that exits closes its sockets one after another
	conn, err := net.DialTimeout("unix", h.predecessorPath, orphanCheckTimeout)
	if err != nil {
		h.logger.Info("predecessor has died, this process owns the keys")
		return
	}
	_ = conn.Close() // only whether the connection opens matters
	h.orphaned.Store(true)
	h.loop.Load().Stop()
}

// err returns why the host has stopped the loop, or nil if it has not.
func (h *processHost) err() error {
	if h.orphaned.Load() {
		return fmt.Errorf("%w: the connection to it was lost", errCannotTakeOver)
	}
	return nil
}
