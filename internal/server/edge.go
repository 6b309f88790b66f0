// Package server joins the layers: its Server ties the fronts, the core and what does the work to one loop. It decides nothing
// about requests.
package server

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"pewterline/control"
	"pewterline/internal/admin"
	"pewterline/internal/backend/ajpbackend"
	"pewterline/internal/backend/upstream"
	"pewterline/internal/backend/workerpool"
	"pewterline/internal/config"
	"pewterline/internal/dispatch"
	"pewterline/internal/frontend"
	"pewterline/internal/frontend/ajpfrontend"
	"pewterline/internal/frontend/thriftfrontend"
	"pewterline/internal/microtime"
	"pewterline/internal/planted"
	"pewterline/internal/protocol/loadreport"
	"pewterline/internal/replication"
	"pewterline/internal/transport"
	"pewterline/internal/vaultclient"
)

const (
	// Fifteen reports fit before an entry lapses: a quarter of them may be lost, and a lost NotReady of a drain
	// costs no more than this.
	reportEvery  = 200 * microtime.Millisecond
	sweepEvery   = 250 * microtime.Millisecond // looks for idle connections
	stopLead     = 100 * microtime.Millisecond // we are gone this long before the process would be stopped
	shutdownMost = 500 * microtime.Millisecond // for the peers of the last connections to close them
)

// ExchangeListener is the index of the listener for other instances.
const ExchangeListener = 2

// EventLoop is what the server needs of the event loop.
type EventLoop interface {
	Now() microtime.Time
	Dial(addr string, open func(transport.Conn) transport.Session) (drop func())
	DialOnce(addr string, open func(transport.Conn) transport.Session, failed func()) (drop func())
	SetDatagramPeer(addr string) error
	SendDatagram([]byte)
	Execute(func()) error
	Rand() uint64 // need not be secret
	CloseListener(listener int, done func())
	Shutdown(by microtime.Time)
}

// WallClock converts between the wall clock, in Unix milliseconds, and the program's time.
type WallClock interface {
	FromUnixMilli(ms int64) microtime.Time
	UnixMilli(t microtime.Time) int64
}

// Server is the program on one loop.
type Server struct {
	cfg       config.Config
	core      *dispatch.Core
	loop      EventLoop
	logf      func(string, ...any)
	wall      WallClock
	classes   map[string]int
	tenants   map[string]int
	settings  control.Settings       // as the file has them; cfg's have the places that classes got over time
	late      map[int]microtime.Time // classes that are gone are taken until then, by place
	pool      *workerpool.Backend
	vault     *vaultclient.Client  // where runs call
	backends  *ajpbackend.Backend  // nil: no AJP server does the work
	servers   *upstream.Backend    // nil: no log servers do the work
	held      *replication.Replica // copies, with a group of servers; nil: none
	thrift    *thriftfrontend.Frontend
	ajp       *ajpfrontend.Frontend
	operators *admin.Handler
	host      ProcessHost
	peer      *peerProcess // the other process, in an upgrade
	handed    bool         // it has taken over from this one
	handedAt  microtime.Time
	out       bool                         // of service, by the operators' word
	files     struct{ taken, refused int } // at SIGHUP
	requests  int                          // taken by the core so far

	nextReport, nextSweep microtime.Time
	reported              bool           // the health last reported
	drainAt, stopAt, lead microtime.Time // lead: the process would be stopped that long after stopAt
	draining, farewell    bool
	listening             int // listeners of clients that are to end and have not
	stopped               bool
}

// New builds a server. Attach must follow, on its loop.
func New(cfg config.Config, wall WallClock, logf func(string, ...any)) (*Server, error) {
	s := &Server{
		cfg: cfg, logf: logf, wall: wall, classes: map[string]int{}, tenants: map[string]int{}, reported: true,
		settings: cfg.Settings, late: map[int]microtime.Time{},
	}
	s.thrift, s.ajp = thriftfrontend.New(frontendServer{s}), ajpfrontend.New(frontendServer{s}, cfg.AJP)
	s.operators = admin.New(operatorServer{s}, logf)
	s.name()
	var runner dispatch.Backend
	if len(cfg.Fleet.Members) > 0 {
		var err error
		if s.servers, err = upstream.New(upstream.Config{Fleet: cfg.Fleet, Name: cfg.Name, Settings: cfg.Settings}, wall, logf); err != nil {
			return nil, fmt.Errorf("edge: %w", err)
		}
		runner = s.servers
	} else if cfg.AJP.BackendAddress != "" {
		s.backends = ajpbackend.New(ajpbackend.Config{AJP: cfg.AJP, RunTimeout: longestAnswer(cfg.Settings.Classes)}, logf)
		runner = s.backends
	} else {
		s.pool = workerpool.New(workerpool.Config{Address: cfg.PoolAddress, Gauges: cfg.Gauges}, logf)
		s.vault = vaultclient.New(cfg.VaultAddress, logf)
		runner = s.pool
	}
	var err error
	if s.core, err = dispatch.New(dispatch.Config{Settings: cfg.Settings, Backend: runner, Logf: logf}); err != nil {
		return nil, fmt.Errorf("edge: %w", err)
	}
	if s.vault != nil {
		s.core.UseDownstream(s.vault)
	}
	return s, nil
}

// longestAnswer is how long any answer could be wanted.
func longestAnswer(classes []control.Class) (longest microtime.Time) {
	for _, c := range classes {
		longest = max(longest, microtime.FromDuration(c.Deadline), microtime.FromDuration(c.RetentionWindow))
	}
	return longest
}

// Attach starts the server on its loop; it is called there.
func (s *Server) Attach(l EventLoop) {
	s.loop = l
	if s.held != nil {
		s.held.Attach(l)
	}
	if s.servers != nil {
		s.servers.Attach(s.core, l)
	}
	if s.backends != nil {
		s.backends.Attach(s.core, l)
	}
	if s.pool != nil {
		s.vault.Attach(l, s.core.CallEnded)
		s.pool.Attach(s.core, l)
	} else {
		s.core.Start(l.Now(), 0, false)
	}
}

// Reload takes up a configuration that was read anew while serving: the settings, the addresses of the pool and of the
// control plane, and the time to stop. Runs go on, and the new link is bound with the last notice that was read. What is
// built into the running program holds until a restart. An error says that nothing has changed.
func (s *Server) Reload(next config.Config) error {
	if err := s.reload(next); err != nil {
		s.files.refused++
		return err
	}
	s.files.taken++
	return nil
}

func (s *Server) reload(next config.Config) error {
	if err := next.RequireKeysOf(s.cfg); err != nil {
		return err
	}
	if s.draining { // whoever sent the notice counts by the settings of that moment, as stopAt does
		next.Settings.DrainGrace = s.cfg.Settings.DrainGrace
	}
	if next.ControlAddress != s.cfg.ControlAddress {
		if err := s.loop.SetDatagramPeer(next.ControlAddress); err != nil {
			return fmt.Errorf("control: %w", err)
		}
	}
	if err := s.retune(next); err != nil {
		if next.ControlAddress != s.cfg.ControlAddress { // all or nothing
			err = errors.Join(err, s.loop.SetDatagramPeer(s.cfg.ControlAddress))
		}
		return err
	}
	if next.ControlAddress != s.cfg.ControlAddress {
		s.cfg.ControlAddress, s.nextReport = next.ControlAddress, 0 // the new address hears of us at once
	}
	if s.held != nil {
		s.held.ExtendRetention(s.LongestRetention())
	}
	if s.pool != nil {
		s.cfg.PoolAddress, s.cfg.VaultAddress = next.PoolAddress, next.VaultAddress
		s.pool.SetAddress(next.PoolAddress)
		s.vault.SetAddress(next.VaultAddress)
	}
	if s.servers != nil && len(next.Fleet.Members) > 0 && !slices.Equal(next.Fleet.Members, s.cfg.Fleet.Members) {
		s.cfg.Fleet.Members = next.Fleet.Members
		s.servers.UpdateEndpoints(next.Fleet.Members)
		s.logf("edge: configuration read anew: %d log servers", len(next.Fleet.Members))
	}
	s.cfg.ShutdownTimeout = next.ShutdownTimeout
	s.cfg.Document = next.Document
	for _, k := range []struct {
		key     string
		changed bool
	}{
		{"name", next.Name != s.cfg.Name}, {"listen", next.Listen != s.cfg.Listen}, {"admin", next.AdminAddress != s.cfg.AdminAddress},
		{"fleet.toml: server", (len(next.Fleet.Members) > 0) != (s.servers != nil)}, {"limits.memory_mb", next.MemoryLimit != s.cfg.MemoryLimit}, {"limits.sockets", next.SocketLimit != s.cfg.SocketLimit},
	} {
		if k.changed {
			s.logf("edge: configuration read anew: %s holds until a restart", k.key)
		}
	}
	s.logf("edge: configuration read anew: pool %s, vault %q, control %s, classes %s", s.cfg.PoolAddress, s.cfg.VaultAddress, s.cfg.ControlAddress, strings.Join(s.inUse(), " "))
	return nil
}

// Accept gives a connection its session. The first listener is the platform's, the second AJP's, the third
// that of the exchange between instances.
func (s *Server) Accept(listener int, c transport.Conn) transport.Session {
	switch {
	case listener == 1:
		return s.ajp.Accept(c)
	case listener == HandoffListener:
		return s.acceptHandover(c)
	case listener == ReplicationListener && s.held != nil:
		return s.acceptCopies(c)
	case listener == AdminListener:
		return s.operators.Accept(c)
	case listener == ExchangeListener && s.servers != nil && s.servers.Exchange() != nil:
		return s.servers.Exchange().Accept(c)
	}
	return s.thrift.Accept(c)
}

// Turn ends a turn of the loop: one step of the core, then what is due by the clock.
func (s *Server) Turn(now microtime.Time) microtime.Time {
	if s.loop == nil {
		return microtime.Never
	}
	if s.vault != nil {
		s.vault.Check(now)
	}
	s.core.Step(now)
	if !s.handed && (now >= s.nextReport || s.listed() != s.reported) { // then the successor reports
		s.report(now)
	}
	if now >= s.nextSweep {
		s.nextSweep = now + sweepEvery
		s.thrift.CloseIdle(now, s.core.IdleTimeout())
	}
	next := min(s.core.NextWakeup(), s.nextSweep)
	if !s.handed {
		next = min(next, s.nextReport)
	}
	if s.peer != nil && s.peer.successor {
		next = min(next, s.peer.check(now))
	}
	if s.handed {
		next = min(next, s.leaveHanded(now))
	}
	if len(s.late) > 0 {
		next = min(next, s.forgetLate(now))
	}
	next = min(next, s.ajp.ExpireTimeouts(now))
	if s.pool != nil {
		next = min(next, s.pool.Check(now), s.vault.NextDue())
	}
	if s.servers != nil {
		next = min(next, s.servers.Check(now))
	}
	if s.backends != nil {
		next = min(next, s.backends.ExpireTimeouts(now))
	}
	if s.draining {
		next = min(next, s.drain(now))
	}
	if s.held != nil { // last: all of this turn's requests go out together
		next = min(next, s.held.Tick(now))
	}
	return max(next, now)
}

func (s *Server) report(now microtime.Time) {
	s.reported, s.nextReport = s.listed(), now+reportEvery
	s.loop.SendDatagram(loadreport.Append(nil, s.cfg.Name, s.reported))
}

// WastedAttempts counts the tries that came to nothing for want of a server, where this is an edge.
func (s *Server) WastedAttempts() int {
	if s.servers == nil {
		return 0
	}
	return s.servers.WastedAttempts()
}

// Drain is the notice to leave, which came at a time up to now: whoever sent it counts from then, however long the program took
// to start, or to come to it.
func (s *Server) Drain(at microtime.Time) {
	if s.draining || s.handed {
		return
	}
	now := s.loop.Now()
	s.draining, s.drainAt = true, at
	s.stopWithin(at, s.cfg.ShutdownTimeout)
	s.core.Drain(now, at, s.stopAt)
	s.logf("edge: draining, to stop within %v", (s.stopAt - now).Duration())
}

// stopWithin notes when the process ends, somewhat before it would be stopped.
func (s *Server) stopWithin(at, stop microtime.Time) {
	s.lead = min(stopLead, stop/4)
	s.stopAt = at + stop - s.lead
}

// closeListeners refuses clients that come from now on; those that wait to be accepted are taken up first.
func (s *Server) closeListeners() {
	for i, addr := range []string{s.cfg.Listen, s.cfg.AJP.Listen} {
		if addr != "" {
			s.listening++
			s.loop.CloseListener(i, func() { s.listening-- })
		}
	}
}

// shutdown ends the program; half of the lead is for the last connections to be closed.
func (s *Server) shutdown(now microtime.Time) {
	s.stopped = true
	s.loop.Shutdown(min(s.stopAt+s.lead/2, now+shutdownMost))
}

// drain ends the program once all that was read is answered. New requests are welcome until none would run;
// then nobody is accepted any more and farewell is bid, and the end waits for the peers to have closed, so that no request is
// cut off unread.
func (s *Server) drain(now microtime.Time) microtime.Time {
	quiet := min(s.drainAt+microtime.FromDuration(s.cfg.Settings.DrainGrace), s.stopAt-frontend.LingerTimeout/4)
	if now >= quiet && !s.farewell {
		s.farewell = true
		s.closeListeners()
		s.sayFarewell(now)
	}
	done := s.farewell && (s.listening == 0 && s.core.Drained() && s.connections() == 0 || planted.Bug(planted.LeaveOpen))
	if (done || now >= s.stopAt) && !s.stopped {
		s.logf("edge: drained after %d requests, %d are open", s.requests, s.core.OpenRequests())
		s.shutdown(now)
	}
	if s.stopped {
		return microtime.Never
	}
	if s.farewell {
		return s.stopAt
	}
	return quiet
}
