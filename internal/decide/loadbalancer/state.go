package loadbalancer

import "fmt"

// State is the health of an endpoint as one instance sees it.
type State uint8

// The states of an endpoint.
const (
	Unobserved State = iota // no attempt by this instance has ended at the endpoint
	Up                      // the endpoint answers
	Warming                 // the endpoint has recovered and gets an increasing share of the traffic (slow start)
	Suspect                 // recent attempts failed; requests that are idempotent and cheap probe the endpoint
	Down                    // no connection could be opened, or several consecutive attempts failed
	Draining                // the endpoint is shutting down and gets no new requests
)

// String names the state.
func (s State) String() string {
	switch s {
	case Unobserved:
		return "unobserved"
	case Up:
		return "up"
	case Warming:
		return "warming"
	case Suspect:
		return "suspect"
	case Down:
		return "down"
	case Draining:
		return "draining"
	}
	return fmt.Sprintf("State(%d)", uint8(s))
}

// Outcome is how an attempt at an endpoint ended.
type Outcome uint8

// The outcomes of an attempt.
const (
	Succeeded      Outcome = iota
	Rejected               // the endpoint did not execute the request; RetryAfter and NoRetry may be set
	Failed                 // the endpoint reported a failure; it may have executed the request
	TimedOut               // no answer was received in time; the request may have been executed
	ConnectionLost         // the connection was lost after the request was written; it may have been executed
	ConnectFailed          // no connection could be opened, so nothing was written
	Cancelled              // this instance cancelled the attempt, which says nothing about the endpoint's health
)

// String names the outcome.
func (o Outcome) String() string {
	switch o {
	case Succeeded:
		return "succeeded"
	case Rejected:
		return "rejected"
	case Failed:
		return "failed"
	case TimedOut:
		return "timed out"
	case ConnectionLost:
		return "connection lost"
	case ConnectFailed:
		return "connect failed"
	case Cancelled:
		return "cancelled"
	}
	return fmt.Sprintf("Outcome(%d)", uint8(o))
}

// ProvesNotExecuted reports whether the outcome proves that the endpoint did not execute the request.
func (o Outcome) ProvesNotExecuted() bool { return o == Rejected || o == ConnectFailed }
