package calls

import "pewterline/internal/microtime"

// ConnID identifies a connection between a Pool and its host. It is never reused.
type ConnID int

// Action is something that the host of a Pool carries out, in the order given.
type Action interface{ action() }

// Dial opens a connection; Pool.Opened or Pool.DialFailed follows, unless Redial comes first.
type Dial struct{}

// Redial cancels the connection that is being dialled, and dials the current address instead.
type Redial struct{}

// Send makes a call on a connection.
type Send struct {
	Conn    ConnID
	ID      string
	Timeout microtime.Time
	Body    []byte
}

// Abandon notifies the service, on the connection on which a call was made, that its reply is no longer needed.
type Abandon struct {
	Conn ConnID
	ID   string
}

// Close closes a connection; Pool.ConnClosed follows.
type Close struct{ Conn ConnID }

// Complete reports how a call ended. Reply is set only with Answered.
type Complete struct {
	ID      string
	Outcome Outcome
	Reply   []byte
}

// ReportSilence reports, for the log, that a connection has been silent for longer than its calls usually take.
type ReportSilence struct {
	Calls    int // in flight on it
	Duration microtime.Time
}

func (Dial) action()          {}
func (Redial) action()        {}
func (Send) action()          {}
func (Abandon) action()       {}
func (Close) action()         {}
func (Complete) action()      {}
func (ReportSilence) action() {}
