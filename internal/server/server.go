package server

import (
	"fmt"

	"pewterline/control"
	"pewterline/internal/admin"
	"pewterline/internal/config"
	"pewterline/internal/dispatch"
	"pewterline/internal/microtime"
	"pewterline/internal/replication"
	"pewterline/internal/transport"
)

// The listeners, as indices into the list of addresses that the event loop is started with.
const (
	// ThriftListener accepts connections of proxies.
	ThriftListener = iota
	// AJPListener accepts connections of web servers.
	AJPListener
	// ExchangeListener accepts gossip connections of other instances.
	ExchangeListener
	// AdminListener accepts connections of operators.
	AdminListener
	// HandoffListener accepts the connection of a successor.
	HandoffListener
	// ReplicationListener accepts connections of the other members of the replication group.
	ReplicationListener
)

// idleSweepInterval is the time between two sweeps that close idle client connections.
const idleSweepInterval = 250 * microtime.Millisecond

// EventLoop is the part of the event loop that the server uses. Package transport's Loop implements it.
type EventLoop interface {
	// Now returns the time of the current turn.
	Now() microtime.Time
	// Dial opens a connection to an address. It retries with a backoff until the connection opens or drop is called.
	Dial(addr string, open func(transport.Conn) transport.Session) (drop func())
	// DialOnce tries once to open a connection to an address, and calls failed if it cannot. Neither open nor failed is
	// called after drop.
	DialOnce(addr string, open func(transport.Conn) transport.Session, failed func()) (drop func())
	// SetDatagramPeer sets the address that SendDatagram sends to. After an error the previous address remains
	// in use.
	SetDatagramPeer(addr string) error
	// SendDatagram sends a datagram, which may be lost.
	SendDatagram([]byte)
	// Execute runs a task in a turn. It may be called from any goroutine. It fails only if the loop has ended.
	Execute(func()) error
	// Rand returns a random number that is not cryptographically secure.
	Rand() uint64
	// CloseListener accepts the connections in the listener's queue, closes the listener, and then calls done.
	CloseListener(listener int, done func())
	// Shutdown flushes and closes all accepted connections. The loop ends once their peers have closed them too, or at
	// the deadline.
	Shutdown(deadline microtime.Time)
}

// WallClock converts between the wall clock, in Unix milliseconds, and the program's time.
type WallClock interface {
	FromUnixMilli(ms int64) microtime.Time
	UnixMilli(t microtime.Time) int64
}

// Server is one log server. It is not for concurrent use: all its methods run on its event loop once it is attached.
type Server struct {
	cfg   config.Config // its classes keep their indices across reloads
	loop  EventLoop     // nil until Attach
	clock WallClock
	logf  func(format string, args ...any)

	core      *dispatch.Core
	clients   clients
	backends  backendSet
	replica   *replication.Replica // nil unless executions are recorded with a replication group
	operators *admin.Handler

	names        nameIndex
	fileSettings control.Settings // the settings of the file, without retired classes
	reloads      reloadCounts
	health       healthReporter
	outOfService bool // set by an operator's command
	handoff      handoffState
	shutdown     shutdownState
	nextSweepAt  microtime.Time
}

// New builds a server. Attach must follow, on its loop.
func New(cfg config.Config, clock WallClock, logf func(format string, args ...any)) (*Server, error) {
	backends, err := newBackendSet(cfg, clock, logf)
	if err != nil {
		return nil, fmt.Errorf("server: %w", err)
	}
	core, err := dispatch.New(dispatch.Config{Settings: cfg.Settings, Backend: backends.active(), Logf: logf})
	if err != nil {
		return nil, fmt.Errorf("server: %w", err)
	}
	if backends.vault != nil {
		core.UseDownstream(backends.vault)
	}
	server := &Server{
		cfg:          cfg,
		clock:        clock,
		logf:         logf,
		core:         core,
		backends:     backends,
		names:        newNameIndex(cfg.Settings),
		fileSettings: cfg.Settings,
		health:       newHealthReporter(),
	}
	server.clients = newClients(frontendServer{server}, cfg.AJP)
	server.operators = admin.New(operatorServer{server}, logf)
	return server, nil
}

// UseReplication makes the server record executions of idempotency keys with a replication group. It must be called
// before Attach.
func (s *Server) UseReplication(replica *replication.Replica) {
	s.replica = replica
	s.operators.UseReplication(replica)
	s.core.UseExecutionStore(&replicatedStore{server: s, replica: replica})
}

// UseController replaces the constructor of the controller, which is control.New by default. It must be called before
// Attach.
func (s *Server) UseController(newController func(control.Settings) (dispatch.Controller, error)) {
	s.core.UseController(newController)
}

// Attach starts the server on its loop. It must be called on the loop.
func (s *Server) Attach(loop EventLoop) {
	s.loop = loop
	if s.replica != nil {
		s.replica.Attach(loop)
	}
	s.backends.attach(s.core, loop)
}

// Accept returns the session for a new connection, which depends on the listener that accepted it.
func (s *Server) Accept(listener int, conn transport.Conn) transport.Session {
	switch listener {
	case AJPListener:
		return s.clients.ajp.Accept(conn)
	case HandoffListener:
		return s.acceptSuccessor(conn)
	case AdminListener:
		return s.operators.Accept(conn)
	case ReplicationListener:
		if s.replica != nil {
			return s.replica.Accept(conn)
		}
	case ExchangeListener:
		if exchange := s.backends.exchange(); exchange != nil {
			return exchange.Accept(conn)
		}
	}
	return s.clients.thrift.Accept(conn)
}

// Turn ends a turn of the loop: it runs one step of the core, then all timers that are due. It returns when the next
// turn is due.
func (s *Server) Turn(now microtime.Time) microtime.Time {
	if s.loop == nil {
		return microtime.Never
	}
	s.backends.expireCalls(now)
	s.core.Step(now)
	next := s.reportHealth(now)
	next = min(next, s.closeIdleClients(now))
	next = min(next, s.core.NextWakeup())
	next = min(next, s.checkSuccessor(now))
	next = min(next, s.finishHandoff(now))
	next = min(next, s.names.expireRetired(s.cfg.Settings, now))
	next = min(next, s.clients.ajp.ExpireTimeouts(now))
	next = min(next, s.backends.check(now))
	next = min(next, s.continueDrain(now))
	if s.replica != nil { // last, so that the messages of the whole turn are sent together
		next = min(next, s.replica.Tick(now))
	}
	return max(next, now)
}

// closeIdleClients closes idle connections if a sweep is due. It returns when the next sweep is due.
func (s *Server) closeIdleClients(now microtime.Time) microtime.Time {
	if now >= s.nextSweepAt {
		s.nextSweepAt = now + idleSweepInterval
		s.clients.thrift.CloseIdle(now, s.core.IdleTimeout())
	}
	return s.nextSweepAt
}

// WastedAttempts returns the number of attempts that got no response from their log server. It is 0 unless requests run
// on an upstream.
func (s *Server) WastedAttempts() int {
	if s.backends.upstream == nil {
		return 0
	}
	return s.backends.upstream.WastedAttempts()
}

// LongestRetention returns the longest time for which any idempotency key is kept.
func (s *Server) LongestRetention() (longest microtime.Time) {
	for _, class := range s.cfg.Settings.Classes {
		longest = max(longest, microtime.FromDuration(class.RetentionWindow))
	}
	return longest
}

// tenantName returns the name of a tenant, or "" if the settings name no tenants.
func (s *Server) tenantName(index int) string {
	if index >= len(s.cfg.Settings.Tenants) {
		return ""
	}
	return s.cfg.Settings.Tenants[index].Name
}
