// Package edge joins the layers: its Server ties the fronts, the core and what does the work to one loop. It decides nothing
// about requests.
package edge

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"pewterline/control"
	"pewterline/internal/config"
	"pewterline/internal/front"
	"pewterline/internal/front/ajpfront"
	"pewterline/internal/front/thriftfront"
	"pewterline/internal/holdings"
	"pewterline/internal/micro"
	"pewterline/internal/operators"
	"pewterline/internal/planted"
	"pewterline/internal/protocol/lease"
	"pewterline/internal/routing"
	"pewterline/internal/runner/ajprunner"
	"pewterline/internal/runner/fleetrunner"
	"pewterline/internal/transport"
	"pewterline/internal/vaultlink"
	"pewterline/internal/workerpool"
)

const (
	// Fifteen reports fit before an entry lapses: a quarter of them may be lost, and a lost NotReady of a drain
	// costs no more than this.
	reportEvery  = 200 * micro.Millisecond
	sweepEvery   = 250 * micro.Millisecond // looks for idle connections
	stopLead     = 100 * micro.Millisecond // we are gone this long before the process would be stopped
	shutdownMost = 500 * micro.Millisecond // for the peers of the last connections to close them
)

// ExchangeListener is the index of the listener for other instances.
const ExchangeListener = 2

// Loop is what the server needs of the event loop.
type Loop interface {
	Now() micro.Time
	Dial(addr string, open func(transport.Link) transport.Session) (drop func())
	Try(addr string, open func(transport.Link) transport.Session, failed func()) (drop func())
	Datagrams(addr string) error
	Send([]byte)
	Execute(func()) error
	Rand() uint64 // need not be secret
	CloseListener(listener int, done func())
	Shutdown(by micro.Time)
}

// Wall converts between the wall clock, in Unix milliseconds, and the program's time.
type Wall interface {
	FromUnixMilli(ms int64) micro.Time
	UnixMilli(t micro.Time) int64
}

// Server is the program on one loop.
type Server struct {
	cfg       config.Config
	core      *routing.Core
	loop      Loop
	logf      func(string, ...any)
	wall      Wall
	classes   map[string]int
	tenants   map[string]int
	settings  control.Settings   // as the file has them; cfg's have the places that classes got over time
	late      map[int]micro.Time // classes that are gone are taken until then, by place
	pool      *workerpool.Runner
	vault     *vaultlink.Client   // where runs call
	backends  *ajprunner.Runner   // nil: no AJP server does the work
	servers   *fleetrunner.Runner // nil: no log servers do the work
	held      *holdings.Holdings  // copies, with a group of servers; nil: none
	thrift    *thriftfront.Front
	ajp       *ajpfront.Front
	operators *operators.Handler
	host      Host
	peer      *peerProcess // the other process, in an upgrade
	handed    bool         // it has taken over from this one
	handedAt  micro.Time
	out       bool                         // of service, by the operators' word
	files     struct{ taken, refused int } // at SIGHUP
	requests  int                          // taken by the core so far

	nextReport, nextSweep micro.Time
	reported              bool       // the health last reported
	drainAt, stopAt, lead micro.Time // lead: the process would be stopped that long after stopAt
	draining, farewell    bool
	listening             int // listeners of clients that are to end and have not
	stopped               bool
}

// New builds a server. Attach must follow, on its loop.
func New(cfg config.Config, wall Wall, logf func(string, ...any)) (*Server, error) {
	s := &Server{
		cfg: cfg, logf: logf, wall: wall, classes: map[string]int{}, tenants: map[string]int{}, reported: true,
		settings: cfg.Settings, late: map[int]micro.Time{},
	}
	s.thrift, s.ajp = thriftfront.New(frontServer{s}), ajpfront.New(frontServer{s}, cfg.AJP)
	s.operators = operators.New(operatorServer{s}, logf)
	s.name()
	var runner routing.Runner
	if len(cfg.Fleet.Members) > 0 {
		var err error
		if s.servers, err = fleetrunner.New(fleetrunner.Config{Fleet: cfg.Fleet, Name: cfg.Name, Settings: cfg.Settings}, wall, logf); err != nil {
			return nil, fmt.Errorf("edge: %w", err)
		}
		runner = s.servers
	} else if cfg.AJP.Runner != "" {
		s.backends = ajprunner.New(ajprunner.Config{AJP: cfg.AJP, RunTimeout: longestAnswer(cfg.Settings.Classes)}, logf)
		runner = s.backends
	} else {
		s.pool = workerpool.New(workerpool.Config{Address: cfg.Pool, Gauges: cfg.Gauges}, logf)
		s.vault = vaultlink.New(cfg.Vault, logf)
		runner = s.pool
	}
	var err error
	if s.core, err = routing.New(cfg.Settings, runner, logf); err != nil {
		return nil, fmt.Errorf("edge: %w", err)
	}
	if s.vault != nil {
		s.core.UseCallee(s.vault)
	}
	return s, nil
}

// longestAnswer is how long any answer could be wanted.
func longestAnswer(classes []control.Class) (longest micro.Time) {
	for _, c := range classes {
		longest = max(longest, micro.Of(c.Deadline), micro.Of(c.Window))
	}
	return longest
}

// Attach starts the server on its loop; it is called there.
func (s *Server) Attach(l Loop) {
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
		s.core.Begin(l.Now(), 0, false)
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
	if err := next.Lacks(s.cfg); err != nil {
		return err
	}
	if s.draining { // whoever sent the notice counts by the settings of that moment, as stopAt does
		next.Settings.DrainGrace = s.cfg.Settings.DrainGrace
	}
	if next.Control != s.cfg.Control {
		if err := s.loop.Datagrams(next.Control); err != nil {
			return fmt.Errorf("control: %w", err)
		}
	}
	if err := s.retune(next); err != nil {
		if next.Control != s.cfg.Control { // all or nothing
			err = errors.Join(err, s.loop.Datagrams(s.cfg.Control))
		}
		return err
	}
	if next.Control != s.cfg.Control {
		s.cfg.Control, s.nextReport = next.Control, 0 // the new address hears of us at once
	}
	if s.held != nil {
		s.held.Window(s.Window())
	}
	if s.pool != nil {
		s.cfg.Pool, s.cfg.Vault = next.Pool, next.Vault
		s.pool.Move(next.Pool)
		s.vault.Move(next.Vault)
	}
	if s.servers != nil && len(next.Fleet.Members) > 0 && !slices.Equal(next.Fleet.Members, s.cfg.Fleet.Members) {
		s.cfg.Fleet.Members = next.Fleet.Members
		s.servers.Reload(next.Fleet.Members)
		s.logf("edge: configuration read anew: %d log servers", len(next.Fleet.Members))
	}
	s.cfg.Stop = next.Stop
	s.cfg.Raw = next.Raw
	for _, k := range []struct {
		key     string
		changed bool
	}{
		{"name", next.Name != s.cfg.Name}, {"listen", next.Listen != s.cfg.Listen}, {"admin", next.Admin != s.cfg.Admin},
		{"fleet.toml: server", (len(next.Fleet.Members) > 0) != (s.servers != nil)}, {"limits.memory_mb", next.Memory != s.cfg.Memory}, {"limits.sockets", next.Sockets != s.cfg.Sockets},
	} {
		if k.changed {
			s.logf("edge: configuration read anew: %s holds until a restart", k.key)
		}
	}
	s.logf("edge: configuration read anew: pool %s, vault %q, control %s, classes %s", s.cfg.Pool, s.cfg.Vault, s.cfg.Control, strings.Join(s.inUse(), " "))
	return nil
}

// Accept gives a connection its session. The first listener is the platform's, the second AJP's, the third
// that of the exchange between instances.
func (s *Server) Accept(listener int, c transport.Link) transport.Session {
	switch {
	case listener == 1:
		return s.ajp.Accept(c)
	case listener == HandoverListener:
		return s.acceptHandover(c)
	case listener == CopiesListener && s.held != nil:
		return s.acceptCopies(c)
	case listener == AdminListener:
		return s.operators.Accept(c)
	case listener == ExchangeListener && s.servers != nil && s.servers.Exchange() != nil:
		return s.servers.Exchange().Accept(c)
	}
	return s.thrift.Accept(c)
}

// Turn ends a turn of the loop: one step of the core, then what is due by the clock.
func (s *Server) Turn(now micro.Time) micro.Time {
	if s.loop == nil {
		return micro.Never
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
		s.thrift.CloseIdle(now, s.core.IdleAfter())
	}
	next := min(s.core.NextDue(), s.nextSweep)
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
	next = min(next, s.ajp.Check(now))
	if s.pool != nil {
		next = min(next, s.pool.Check(now), s.vault.NextDue())
	}
	if s.servers != nil {
		next = min(next, s.servers.Check(now))
	}
	if s.backends != nil {
		next = min(next, s.backends.Check(now))
	}
	if s.draining {
		next = min(next, s.drain(now))
	}
	if s.held != nil { // last: all of this turn's requests go out together
		next = min(next, s.held.Turn(now))
	}
	return max(next, now)
}

func (s *Server) report(now micro.Time) {
	s.reported, s.nextReport = s.listed(), now+reportEvery
	s.loop.Send(lease.Append(nil, s.cfg.Name, s.reported))
}

// Wasted counts the tries that came to nothing for want of a server, where this is an edge.
func (s *Server) Wasted() int {
	if s.servers == nil {
		return 0
	}
	return s.servers.Wasted()
}

// Drain is the notice to leave, which came at a time up to now: whoever sent it counts from then, however long the program took
// to start, or to come to it.
func (s *Server) Drain(at micro.Time) {
	if s.draining || s.handed {
		return
	}
	now := s.loop.Now()
	s.draining, s.drainAt = true, at
	s.stopWithin(at, s.cfg.Stop)
	s.core.Drain(now, at, s.stopAt)
	s.logf("edge: draining, to stop within %v", (s.stopAt - now).Duration())
}

// stopWithin notes when the process ends, somewhat before it would be stopped.
func (s *Server) stopWithin(at, stop micro.Time) {
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
func (s *Server) shutdown(now micro.Time) {
	s.stopped = true
	s.loop.Shutdown(min(s.stopAt+s.lead/2, now+shutdownMost))
}

// drain ends the program once all that was read is answered. New requests are welcome until none would run;
// then nobody is accepted any more and farewell is bid, and the end waits for the peers to have closed, so that no request is
// cut off unread.
func (s *Server) drain(now micro.Time) micro.Time {
	quiet := min(s.drainAt+micro.Of(s.cfg.Settings.DrainGrace), s.stopAt-front.LingerTimeout/4)
	if now >= quiet && !s.farewell {
		s.farewell = true
		s.closeListeners()
		s.sayFarewell(now)
	}
	done := s.farewell && (s.listening == 0 && s.core.Drained() && s.connections() == 0 || planted.Bug(planted.LeaveOpen))
	if (done || now >= s.stopAt) && !s.stopped {
		s.logf("edge: drained after %d requests, %d are open", s.requests, s.core.Open())
		s.shutdown(now)
	}
	if s.stopped {
		return micro.Never
	}
	if s.farewell {
		return s.stopAt
	}
	return quiet
}
