package fakes

import (
	"math/rand/v2"
	"slices"

	"pewterline/internal/microtime"
	"pewterline/internal/testbed/simnet"
)

const (
	// staleAfterCrash is how long a caller that is back after a crash misses each change of the list.
	staleAfterCrash = 3 * microtime.Second
	// nobodyNode is a server on the list of such a caller that does not exist.
	nobodyNode = "x9"
)

// Caller is a proxy that speaks Thrift, or a web front end that speaks AJP. It has a list of servers that may be out
// of date, sends jobs, retries them after rejections and errors, and cancels them at their deadline.
type Caller struct {
	// OtherProtocol is a caller of the other protocol that sends some retries of jobs with an idempotency key; nil:
	// none.
	OtherProtocol *Caller

	env         *Environment
	rng         *rand.Rand
	node        *simnet.Node
	number      int
	ajp         bool
	incarnation int
	rate        float64        // jobs a second
	until       microtime.Time // when it stops sending new jobs
	endpoints   []string
	frozenUntil microtime.Time // it misses each change of the list before
	conns       []*callerConn
	allowances  map[string]allowance // by server
	faults      callerFaults
}

// callerFaults are until when a caller goes wrong in some way.
type callerFaults struct {
	cancelAfter      microtime.Time // how long it waits while it cancels early
	cancelEarlyUntil microtime.Time
	cancelLateUntil  microtime.Time
	notReadingUntil  microtime.Time
	retryAtOnceUntil microtime.Time
}

// CallerConfig is what tells one caller from another.
type CallerConfig struct {
	Name      string         // of its node
	Number    int            // that it states to the servers
	AJP       bool           // it is a web front end that speaks AJP, and else a proxy that speaks Thrift
	Rate      float64        // jobs a second
	Until     microtime.Time // when it stops sending new jobs
	Endpoints []string       // the servers that it knows at the start
	Seed      uint64
}

// NewCaller returns a caller that begins at once.
func NewCaller(env *Environment, config CallerConfig) *Caller {
	caller := &Caller{
		env:        env,
		rng:        env.World.Fork(config.Seed, config.Name),
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

// Crash ends the caller's process. It is back at a time with the list that it had, and a server that does not exist
// in it.
func (c *Caller) Crash(back microtime.Time) {
	for _, conn := range c.conns {
		conn.abandon()
	}
	c.conns = nil
	c.node.Kill(false)
	c.frozenUntil = max(c.frozenUntil, back+staleAfterCrash)
	c.env.World.At(back, func() {
		if c.node.Up() {
			return
		}
		c.endpoints = slices.DeleteFunc(c.endpoints, func(server string) bool { return server == nobodyNode })
		c.endpoints = append(c.endpoints, nobodyNode)
		c.boot()
	})
}

// FreezeEndpoints has it miss each change of the list until a time.
func (c *Caller) FreezeEndpoints(until microtime.Time) { c.frozenUntil = max(c.frozenUntil, until) }

// CancelAfter has it cancel each request after a while, until a time.
func (c *Caller) CancelAfter(after, until microtime.Time) {
	c.faults.cancelAfter = after
	c.faults.cancelEarlyUntil = until
}

// CancelLate has it cancel requests that were answered, until a time.
func (c *Caller) CancelLate(until microtime.Time) { c.faults.cancelLateUntil = until }

// RetryAtOnce has it retry the instant that it is rejected, until a time.
func (c *Caller) RetryAtOnce(until microtime.Time) { c.faults.retryAtOnceUntil = until }

// StopReading has it read nothing until a time.
func (c *Caller) StopReading(until microtime.Time) {
	c.faults.notReadingUntil = max(c.faults.notReadingUntil, until)
	for _, conn := range slices.Clone(c.conns) {
		if conn.stream != nil {
			conn.stream.PauseReading(true)
		}
	}
	c.env.World.At(until, func() {
		for _, conn := range slices.Clone(c.conns) {
			if conn.stream != nil && !conn.ended && c.faults.notReadingUntil <= c.env.World.Now() {
				conn.stream.PauseReading(false)
			}
		}
	})
}

// endpointsReceived takes the list of the servers.
func (c *Caller) endpointsReceived(endpoints []string) {
	if c.env.World.Now() >= c.frozenUntil {
		c.endpoints = endpoints
	}
}

// alive reports whether the process of an incarnation still runs.
func (c *Caller) alive(incarnation int) bool { return c.node.Up() && c.node.Incarnation == incarnation }

// randomEndpoint draws a server of the list, which must not be empty.
func (c *Caller) randomEndpoint() string { return c.endpoints[c.rng.IntN(len(c.endpoints))] }
