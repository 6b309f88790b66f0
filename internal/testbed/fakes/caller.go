package fakes

import (
	"math/rand/v2"
	"slices"

	"pewterline/internal/microtime"
	"pewterline/internal/testbed/simnet"
)

const (
	// staleEndpointsAfterCrash is how long a caller ignores updates of the endpoint list after its restart from a crash.
	staleEndpointsAfterCrash = 3 * microtime.Second
	// nonexistentServer is a server that does not exist, on the endpoint list of a restarted caller.
	nonexistentServer = "x9"
)

// Caller is a proxy that speaks Thrift, or a web frontend that speaks AJP. It sends jobs to the servers of its endpoint
// list, which may be out of date, retries them after rejections and errors, and cancels them at their deadline.
type Caller struct {
	// OtherProtocol is a caller with the other protocol that takes over some retries of keyed jobs; may be nil.
	OtherProtocol *Caller

	env         *Environment
	rng         *rand.Rand
	node        *simnet.Node
	number      int
	ajp         bool
	incarnation int
	rate        float64        // jobs per second
	until       microtime.Time // when it stops sending new jobs
	endpoints   []string
	frozenUntil microtime.Time // ignores updates of the endpoint list until then
	conns       []*callerConn
	allowances  map[string]allowance // by server
	faults      callerFaults
}

// callerFaults are the injected faults of a caller, each with the time at which it ends.
type callerFaults struct {
	cancelAfter      microtime.Time // how long it waits for an answer before it cancels early
	cancelEarlyUntil microtime.Time
	cancelLateUntil  microtime.Time
	notReadingUntil  microtime.Time
	retryAtOnceUntil microtime.Time
	overlapInterval  microtime.Time // how long it waits for an answer before it sends another attempt
	overlapUntil     microtime.Time
}

// CallerConfig are the parameters of a caller.
type CallerConfig struct {
	Name      string         // name of its node
	Number    int            // caller number in its requests
	AJP       bool           // a web frontend that speaks AJP, instead of a proxy that speaks Thrift
	Rate      float64        // jobs per second
	Until     microtime.Time // when it stops sending new jobs
	Endpoints []string       // initial endpoint list
	Seed      uint64
}

// NewCaller returns a caller that starts at once.
func NewCaller(env *Environment, config CallerConfig) *Caller {
	caller := &Caller{
		env:        env,
		rng:        env.Clock.Fork(config.Seed, config.Name),
		node:       env.Net.Node(config.Name),
		number:     config.Number,
		ajp:        config.AJP,
		rate:       config.Rate,
		until:      config.Until,
		endpoints:  slices.Clone(config.Endpoints),
		allowances: map[string]allowance{},
	}
	env.Registry.callers = append(env.Registry.callers, caller)
	caller.boot()
	return caller
}

// boot starts the caller's process.
func (c *Caller) boot() {
	c.node.Boot()
	c.incarnation = c.node.Incarnation
	c.conns = nil
	c.scheduleJob()
	if !c.ajp {
		c.scheduleHealthCheck()
	}
}

// Crash ends the caller's process. The caller restarts at a time, with its previous endpoint list and a server on it
// that does not exist.
func (c *Caller) Crash(back microtime.Time) {
	for _, conn := range c.conns {
		conn.abandon()
	}
	c.conns = nil
	c.node.Kill(false)
	c.frozenUntil = max(c.frozenUntil, back+staleEndpointsAfterCrash)
	c.env.Clock.At(back, func() {
		if c.node.Up() {
			return
		}
		c.endpoints = slices.DeleteFunc(c.endpoints, func(server string) bool { return server == nonexistentServer })
		c.endpoints = append(c.endpoints, nonexistentServer)
		c.boot()
	})
}

// FreezeEndpoints makes the caller ignore updates of the endpoint list until a time.
func (c *Caller) FreezeEndpoints(until microtime.Time) { c.frozenUntil = max(c.frozenUntil, until) }

// CancelAfter makes the caller cancel each request after a duration, until a time.
func (c *Caller) CancelAfter(after, until microtime.Time) {
	c.faults.cancelAfter = after
	c.faults.cancelEarlyUntil = until
}

// CancelLate makes the caller cancel requests that have been answered, until a time.
func (c *Caller) CancelLate(until microtime.Time) { c.faults.cancelLateUntil = until }

// RetryAtOnce makes the caller retry without a pause after a rejection, until a time.
func (c *Caller) RetryAtOnce(until microtime.Time) { c.faults.retryAtOnceUntil = until }

// OverlapAttempts makes the caller send another attempt of a keyed job to the same server after each interval without
// an answer, until a time. It does not cancel the attempts before.
func (c *Caller) OverlapAttempts(interval, until microtime.Time) {
	c.faults.overlapInterval = interval
	c.faults.overlapUntil = until
}

// StopReading pauses reading on all connections of the caller until a time.
func (c *Caller) StopReading(until microtime.Time) {
	c.faults.notReadingUntil = max(c.faults.notReadingUntil, until)
	for _, conn := range slices.Clone(c.conns) {
		if conn.stream != nil {
			conn.stream.PauseReading(true)
		}
	}
	c.env.Clock.At(until, func() {
		for _, conn := range slices.Clone(c.conns) {
			if conn.stream != nil && !conn.ended && c.faults.notReadingUntil <= c.env.Clock.Now() {
				conn.stream.PauseReading(false)
			}
		}
	})
}

// endpointsReceived handles an update of the endpoint list.
func (c *Caller) endpointsReceived(endpoints []string) {
	if c.env.Clock.Now() >= c.frozenUntil {
		c.endpoints = endpoints
	}
}

// alive reports whether an incarnation of the caller's process is still running.
func (c *Caller) alive(incarnation int) bool { return c.node.Up() && c.node.Incarnation == incarnation }

// randomEndpoint returns a random server of the endpoint list, which must not be empty.
func (c *Caller) randomEndpoint() string { return c.endpoints[c.rng.IntN(len(c.endpoints))] }
