package invariant

import (
	"pewterline/control"
	"pewterline/internal/microtime"
	"pewterline/internal/protocol/ajp"
	"pewterline/internal/protocol/pool"
)

// edgePrefix begins the names of edges: servers without a worker pool that forward to the others.
const edgePrefix = 'e'

// The kinds of a final answer, as Observer.Answers and the histories name them.
const (
	answerServed   = "served"
	answerRejected = "refused"
	answerFailed   = "failed"
)

// activeFault is a fault that is at work on a server until a time.
type activeFault struct {
	kind   string
	server string
	until  microtime.Time
}

// globalRun is a run under an idempotency key at some server.
type globalRun struct {
	run               *run
	server            string
	caller            string // an edge, where there are edges
	callerIncarnation int
}

// dueAnswer is when a request must have been answered.
type dueAnswer struct {
	at      microtime.Time
	request *requestState
}

// serverState is one incarnation of a server, with its worker pool.
type serverState struct {
	name           string
	incarnation    int
	startedAt      microtime.Time
	drainSentAt    microtime.Time // Never: no drain notice was sent
	pauses         []span
	requests       map[string]*requestState // by ID
	keys           map[string]*keyState
	runs           map[string]*run // by the request's ID, the last one of each
	open           []*requestState // in order; answered ones are taken out at the audit
	running        int             // runs that are on the cores
	runningSamples []runningSample
	stopped        bool           // the process is gone, or what it does is no longer judged
	openLinks      int            // connections to its worker pool
	lastNotice     uint64         // the highest number of a notice that has reached it
	strayErrors    int            // errors answered to what is no request
	lastDialAt     microtime.Time // when it last tried to reach its worker pool
	calls          []*call        // open, or made a short while ago
	healthChecks   []healthCheck
	// callAddress is the address of the vault in its configuration; empty: not known.
	callAddress string
	// callAddressSetAt is when callAddress took effect.
	callAddressSetAt microtime.Time
	// lastBlockedNotice is the number of the last notice that a run waits for a call which its worker pool has sent.
	lastBlockedNotice uint64
}

// isEdge reports whether the server is an edge, which has no worker pool.
func (s *serverState) isEdge() bool { return s.name[0] == edgePrefix }

// pausedAt reports whether the server's process stands still at a time.
func (s *serverState) pausedAt(now microtime.Time) bool {
	for _, pause := range s.pauses {
		if now >= pause.from && now <= pause.to {
			return true
		}
	}
	return false
}

// span is a time in which a process stands still.
type span struct{ from, to microtime.Time }

// runningSample is a change of the number of runs on the cores, for the average.
type runningSample struct {
	at      microtime.Time
	running int
}

// keyState is what a server has seen under one idempotency key.
type keyState struct {
	runs     []*run
	attempts []*requestState
}

// run is what a worker pool did for one request ID.
type run struct {
	id          string
	requestedAt microtime.Time // by the clock of the caller of the attempt
	ended       bool
	executed    bool // it is a run: not declined, nor found needless
	outcome     pool.Outcome
	result      []byte
	previous    *run // of the same ID, which an idempotent class may have
	callPoints  []*callPoint
	// endReceivedAt is when the notice of its end reached the server; 0: not yet.
	endReceivedAt microtime.Time
}

// note is one event in the history of a request.
type note struct {
	at   microtime.Time
	text string
}

// requestState is one attempt of a caller.
type requestState struct {
	server         *serverState
	conn           *connState
	id             string
	class          int    // index into the settings' classes
	idempotencyKey string // with the tenant; empty: it has none
	requestedAt    microtime.Time
	arrivedAt      microtime.Time
	sizeKB         float64
	bodyHash       uint64
	answers        int
	cancelled      bool // by its caller
	settled        bool // no answer is owed any more
	notes          []note
	running        bool
	answerKind     string // of the first answer; empty: none yet
	// endKnownAt is when the server knew that the request has ended: it has answered, the caller's cancellation has
	// come, or the caller's connection has ended; 0: not yet.
	endKnownAt microtime.Time
}

// isOwed reports whether the request is still to be answered.
func (r *requestState) isOwed() bool {
	return !r.settled && r.answers == 0 && !r.cancelled && !r.conn.callerLeft
}

// endKnown is when the server knew that the request has ended, and whether it knows.
func (r *requestState) endKnown() (at microtime.Time, ok bool) { return r.endKnownAt, r.endKnownAt > 0 }

// classOf is the class of a request in the settings.
func (o *Observer) classOf(request *requestState) control.Class {
	return o.Limits.Settings.Classes[request.class]
}

// pausedSince is for how long a server's process has stood still since a time.
func (o *Observer) pausedSince(server *serverState, from microtime.Time) microtime.Time {
	now := o.world.Now()
	sum := microtime.Time(0)
	for _, pause := range server.pauses {
		sum += max(0, min(pause.to, now)-max(pause.from, from))
	}
	return sum
}

// connKind is the protocol of a connection.
type connKind uint8

const (
	ignoredConn connKind = iota
	thriftConn           // of a caller
	ajpConn              // of a caller
	poolConn             // of a server to its worker pool
	vaultConn            // of a server to the vault
)

// connState is one connection, as seen at both machines.
type connState struct {
	kind              connKind
	server            *serverState
	fromPool          []byte // of a worker pool's connection: what has reached the server and is not parsed yet
	pendingIn         []byte // to the server's side of the protocol, not whole yet
	pendingOut        []byte // from the server's side of the protocol, not whole yet
	openRequests      map[int32]*requestState
	currentRequest    *requestState // AJP: the request that is being answered
	requestHead       ajp.Request
	body              []byte
	status            int
	result            []byte
	broken            bool   // no message can be told from the next any more
	callerLeft        bool   // the caller closed its end, or the network did
	address           string // that was dialled
	caller            string
	callerIncarnation int
	lastSequenceID    int32
}

// fromEdge reports whether an edge is the caller.
func (c *connState) fromEdge() bool { return c.caller[0] == edgePrefix }
