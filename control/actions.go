package control

import "time"

// Action is something that the host must carry out. Actions are carried out in the order given.
type Action interface{ action() }

// Start starts a queued request.
type Start struct{ ID RequestID }

// Reject answers that the attempt was rejected without being run.
type Reject struct {
	ID         RequestID
	NoRetry    bool          // asks the caller not to retry at another server
	RetryAfter time.Duration // how long the caller should avoid this server; 0 = no advice
}

// Fail answers with an error. A run that has started continues until it ends, reaches a call or is preempted.
type Fail struct{ ID RequestID }

// Preempt stops a run in the way that Settings.Preemption defines. If the request is already answered, its run is
// neither resumed nor repeated.
type Preempt struct{ ID RequestID }

// Call makes the downstream call that a request waits for.
type Call struct {
	ID      RequestID
	Timeout time.Duration // the host abandons the call after this time
}

// SkipCall resumes a request without its downstream call.
type SkipCall struct{ ID RequestID }

// RetainKey makes the host keep the idempotency key of a request for TTL. During this time, RequestArrived.Original of
// a repeat names this request.
type RetainKey struct {
	ID  RequestID
	TTL time.Duration
}

// ReleaseKey makes the host delete a key that was retained by RetainKey.
type ReleaseKey struct{ ID RequestID }

// ReplayResult answers a queued request with the result of its Original.
type ReplayResult struct{ ID RequestID }

// SetHealth sets the answer to health checks. A Cached answer is sent without using the cores.
type SetHealth struct{ Healthy, Cached bool }

// SetLoadSignal sets the load signal that every answer carries from now on. Settings.LoadSignal defines its meaning.
type SetLoadSignal struct{ Value float64 }

// CloseIdleConnections closes the connections that have been idle for IdleTimeout, and makes it the idle timeout of all
// connections from now on.
type CloseIdleConnections struct{ IdleTimeout time.Duration }

// ScheduleTick requests one Tick with the same Token after the delay After.
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
