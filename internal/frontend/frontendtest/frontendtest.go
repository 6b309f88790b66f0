// Package frontendtest provides the fakes that the tests of the protocol frontends share: a server that records its
// calls, and a connection that records what is written. No other code uses it.
package frontendtest

import (
	"fmt"
	"time"

	"pewterline/control"
	"pewterline/internal/dispatch"
	"pewterline/internal/microtime"
)

// ClassName is the one class that a Server knows.
const ClassName = "block-view"

// Server is a log server that runs nothing. The zero value is healthy, advertises no admission level and does not
// drain.
type Server struct {
	Time      microtime.Time
	Unhealthy bool
	Level     float64 // advertised; 0: none
	Drains    bool
	SubmitErr error

	Submitted    []dispatch.Request
	Cancelled    []control.RequestID
	HealthChecks []func(good bool) // of the backend, waiting for their result
	Log          []string
}

// Now is part of frontend.Server.
func (s *Server) Now() microtime.Time { return s.Time }

// Rand is part of ajpfrontend.Server.
func (s *Server) Rand() uint64 { return 0xa1 }

// Classes is part of ajpfrontend.Server.
func (s *Server) Classes() []control.Class {
	return []control.Class{{Name: ClassName, Weight: 1, Deadline: 4 * time.Second}}
}

// FromUnixMilli is part of frontend.Server.
func (s *Server) FromUnixMilli(milliseconds int64) microtime.Time {
	return microtime.Time(milliseconds) * microtime.Millisecond
}

// Class is part of frontend.Server.
func (s *Server) Class(name string) (index int, known bool) { return 0, name == ClassName }

// Tenant is part of frontend.Server.
func (s *Server) Tenant(string) (index int, known bool) { return 0, true }

// Submit is part of frontend.Server. The requests' IDs count from 1.
func (s *Server) Submit(request dispatch.Request) (control.RequestID, error) {
	if s.SubmitErr != nil {
		return 0, s.SubmitErr
	}
	s.Submitted = append(s.Submitted, request)
	return control.RequestID(len(s.Submitted)), nil
}

// Cancel is part of frontend.Server.
func (s *Server) Cancel(id control.RequestID) { s.Cancelled = append(s.Cancelled, id) }

// Healthy is part of frontend.Server.
func (s *Server) Healthy() bool { return !s.Unhealthy }

// CheckBackend is part of frontend.Server.
func (s *Server) CheckBackend(done func(good bool)) { s.HealthChecks = append(s.HealthChecks, done) }

// AdmissionLevel is part of frontend.Server.
func (s *Server) AdmissionLevel() (level float64, known bool) { return s.Level, s.Level != 0 }

// Draining is part of frontend.Server.
func (s *Server) Draining() bool { return s.Drains }

// Logf is part of frontend.Server.
func (s *Server) Logf(format string, args ...any) {
	s.Log = append(s.Log, fmt.Sprintf(format, args...))
}

// Conn is a transport.Conn that records what its session does.
type Conn struct {
	Written    []byte
	Closed     bool
	Resumed    int
	Identified bool
}

// Write is part of transport.Conn.
func (c *Conn) Write(p []byte) { c.Written = append(c.Written, p...) }

// Close is part of transport.Conn.
func (c *Conn) Close() { c.Closed = true }

// Resume is part of transport.Conn.
func (c *Conn) Resume() { c.Resumed++ }

// MarkIdentified is part of transport.Conn.
func (c *Conn) MarkIdentified() { c.Identified = true }

// Remote is part of transport.Conn.
func (c *Conn) Remote() string { return "peer" }

// Take returns what was written since the last call.
func (c *Conn) Take() []byte {
	out := c.Written
	c.Written = nil
	return out
}
