package calls

import "pewterline/internal/microtime"

// ConnID names a connection to the host of a Pool. It is never used twice.
type ConnID int

// Action is something that the host of a Pool carries out, in the order given.
type Action interface{ action() }

// Dial opens a connection; Pool.Opened or Pool.DialFailed follows, unless Redial comes first.
type Dial struct{}

// Redial gives up the connection that is being dialled, and opens one to the address as it is now.
type Redial struct{}

// Send makes a call on a connection.
type Send struct {
	Conn    ConnID
	ID      string
	Timeout microtime.Time
	Body    []byte
}

// Abandon tells the service that nobody waits for a call any more that was made on a connection.
type Abandon struct {
	Conn ConnID
	ID   string
}

// Close closes a connection; Pool.ConnClosed follows.
type Close struct{ Conn ConnID }

// Complete tells how a call ended. Only Answered has a reply.
type Complete struct {
	ID      string
	Outcome Outcome
	Reply   []byte
}

// ReportSilence tells, for the log, that a connection has been silent for longer than its calls usually take.
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
