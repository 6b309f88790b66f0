package server

import (
	"pewterline/control"
	"pewterline/internal/backend/ajpbackend"
	"pewterline/internal/backend/upstream"
	"pewterline/internal/backend/workerpool"
	"pewterline/internal/config"
	"pewterline/internal/dispatch"
	"pewterline/internal/microtime"
	"pewterline/internal/peers"
	"pewterline/internal/vaultclient"
)

// backendSet holds the one backend that runs the requests of this server: other log servers, an AJP server or the
// worker pool. The others are nil.
type backendSet struct {
	upstream *upstream.Backend
	ajp      *ajpbackend.Backend
	pool     *workerpool.Backend
	vault    *vaultclient.Client // set together with pool, whose runs call the vault
}

// newBackendSet builds the backend that the configuration selects.
func newBackendSet(cfg config.Config, clock WallClock, logf func(format string, args ...any)) (backendSet, error) {
	switch {
	case len(cfg.Fleet.Members) > 0:
		backend, err := upstream.New(upstream.Config{Fleet: cfg.Fleet, Name: cfg.Name, Settings: cfg.Settings}, clock, logf)
		return backendSet{upstream: backend}, err
	case cfg.AJP.BackendAddress != "":
		runTimeout := maxResultLifetime(cfg.Settings.Classes)
		return backendSet{ajp: ajpbackend.New(ajpbackend.Config{AJP: cfg.AJP, RunTimeout: runTimeout}, logf)}, nil
	}
	return backendSet{
		pool:  workerpool.New(workerpool.Config{Address: cfg.PoolAddress, Gauges: cfg.Gauges}, logf),
		vault: vaultclient.New(cfg.VaultAddress, logf),
	}, nil
}

// maxResultLifetime returns the longest time after a request's arrival at which its result can still be used: by the
// request itself until its deadline, or by a retry with the same idempotency key until the end of the retention window.
func maxResultLifetime(classes []control.Class) (longest microtime.Time) {
	for _, class := range classes {
		longest = max(longest, microtime.FromDuration(class.Deadline), microtime.FromDuration(class.RetentionWindow))
	}
	return longest
}

// active returns the backend that runs requests.
func (b *backendSet) active() dispatch.Backend {
	switch {
	case b.upstream != nil:
		return b.upstream
	case b.ajp != nil:
		return b.ajp
	}
	return b.pool
}

// attach starts the backend and the core on the loop.
func (b *backendSet) attach(core *dispatch.Core, loop EventLoop) {
	if b.upstream != nil {
		b.upstream.Attach(core, loop)
	}
	if b.ajp != nil {
		b.ajp.Attach(core, loop)
	}
	if b.pool == nil {
		core.Start(loop.Now(), 0, false)
		return
	}
	b.vault.Attach(loop, core.CallEnded)
	b.pool.Attach(core, loop) // starts the core once the pool has answered
}

// exchange returns the gossip exchange with other instances. It is nil unless requests run on an upstream.
func (b *backendSet) exchange() *peers.Exchange {
	if b.upstream == nil {
		return nil
	}
	return b.upstream.Exchange()
}

// expireCalls ends the calls to the vault that have timed out. It must run before the core's step of the same turn, so
// that the core sees them.
func (b *backendSet) expireCalls(now microtime.Time) {
	if b.vault != nil {
		b.vault.Check(now)
	}
}

// check runs the backend's timers that are due. It returns when to check again.
func (b *backendSet) check(now microtime.Time) microtime.Time {
	switch {
	case b.upstream != nil:
		return b.upstream.Check(now)
	case b.ajp != nil:
		return b.ajp.ExpireTimeouts(now)
	}
	return min(b.pool.Check(now), b.vault.NextDue())
}
