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

// Server is a log server that records requests and never runs them. The zero value is healthy, advertises no admission
// level and does not drain.
type Server struct {
	Time      microtime.Time
	Unhealthy bool
	Level     float64 // the advertised admission level; 0 if there is none
	Drains    bool
	SubmitErr error

	Submitted    []dispatch.Request
	Cancelled    []control.RequestID
	HealthChecks []func(healthy bool) // callbacks of the pending backend health checks
	Log          []string
}

// Now implements frontend.Server.
func (s *Server) Now() microtime.Time { return s.Time }

// Rand implements ajpfrontend.Server.
func (s *Server) Rand() uint64 { return 0xa1 }

// Classes implements ajpfrontend.Server.
func (s *Server) Classes() []control.Class {
	return []control.Class{{Name: ClassName, Weight: 1, Deadline: 4 * time.Second}}
}

// FromUnixMilli implements frontend.Server.
func (s *Server) FromUnixMilli(milliseconds int64) microtime.Time {
	return microtime.Time(milliseconds) * microtime.Millisecond
}

// Class implements frontend.Server.
func (s *Server) Class(name string) (index int, known bool) { return 0, name == ClassName }

// Tenant implements frontend.Server.
func (s *Server) Tenant(string) (index int, known bool) { return 0, true }

// Submit implements frontend.Server. Request IDs count from 1.
func (s *Server) Submit(request dispatch.Request) (control.RequestID, error) {
	if s.SubmitErr != nil {
		return 0, s.SubmitErr
	}
	s.Submitted = append(s.Submitted, request)
	return control.RequestID(len(s.Submitted)), nil
}

// Cancel implements frontend.Server.
func (s *Server) Cancel(id control.RequestID) { s.Cancelled = append(s.Cancelled, id) }

// Healthy implements frontend.Server.
func (s *Server) Healthy() bool { return !s.Unhealthy }

// CheckBackend implements frontend.Server.
func (s *Server) CheckBackend(done func(healthy bool)) { s.HealthChecks = append(s.HealthChecks, done) }

// AdmissionLevel implements frontend.Server.
func (s *Server) AdmissionLevel() (level float64, known bool) { return s.Level, s.Level != 0 }

// Draining implements frontend.Server.
func (s *Server) Draining() bool { return s.Drains }

// Logf implements frontend.Server.
func (s *Server) Logf(format string, args ...any) {
	s.Log = append(s.Log, fmt.Sprintf(format, args...))
}

// Conn is a transport.Conn that records the calls of its session.
type Conn struct {
	Written    []byte
	Closed     bool
	Resumed    int
	Identified bool
}

// Write implements transport.Conn.
func (c *Conn) Write(p []byte) { c.Written = append(c.Written, p...) }

// Close implements transport.Conn.
func (c *Conn) Close() { c.Closed = true }

// Resume implements transport.Conn.
func (c *Conn) Resume() { c.Resumed++ }

// MarkIdentified implements transport.Conn.
func (c *Conn) MarkIdentified() { c.Identified = true }

// Remote implements transport.Conn.
func (c *Conn) Remote() string { return "peer" }

// Take returns what was written since the last call.
func (c *Conn) Take() []byte {
	out := c.Written
	c.Written = nil
	return out
}
