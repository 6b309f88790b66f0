package control

import "time"

// Action is something that the host carries out, in the order given.
type Action interface{ action() }

// Start starts a queued request.
type Start struct{ ID RequestID }

// Reject answers that the attempt was rejected and never ran.
type Reject struct {
	ID         RequestID
	NoRetry    bool          // asks the caller not to retry at another server
	RetryAfter time.Duration // advice not to use this server for so long; 0 = none
}

// Fail answers with an error. Running work goes on until it ends, reaches a call or is preempted.
type Fail struct{ ID RequestID }

// Preempt stops running work in the way of Settings.Preemption; work that is already answered ends.
type Preempt struct{ ID RequestID }

// Call makes the call that a request waits for.
type Call struct {
	ID      RequestID
	Timeout time.Duration
}

// SkipCall lets a request go on without its call.
type SkipCall struct{ ID RequestID }

// RetainKey keeps the idempotency key of a request for TTL, so that repeats name the request as their Original.
type RetainKey struct {
	ID  RequestID
	TTL time.Duration
}

// ReleaseKey drops what RetainKey keeps.
type ReleaseKey struct{ ID RequestID }

// ReplayResult answers a queued request with the result of its Original.
type ReplayResult struct{ ID RequestID }

// SetHealth sets the answer to health checks; a Cached answer is given without work.
type SetHealth struct{ Healthy, Cached bool }

// SetLoadSignal sets the load signal that goes with every answer from now on.
type SetLoadSignal struct{ Value float64 }

// CloseIdleConnections closes connections that have been idle for IdleTimeout, now and from now on.
type CloseIdleConnections struct{ IdleTimeout time.Duration }

// ScheduleTick asks for a Tick with the same Token.
type ScheduleTick struct {
	After time.Duration
	Token uint64
}

// Log is a line for the operators.
type Log struct{ Text string }

func (Start) action()                {}
func (Reject) action()               {}
func (Fail) action()                 {}
func (Preempt) action()              {}
func (Call) action()                 {}
func (SkipCall) action()             {}
func (RetainKey) action()            {}
func (ReleaseKey) action()           {}
func (ReplayResult) action()         {}
func (SetHealth) action()            {}
func (SetLoadSignal) action()        {}
func (CloseIdleConnections) action() {}
func (ScheduleTick) action()         {}
func (Log) action()                  {}
