package invariant

import (
	"pewterline/control"
	"pewterline/internal/microtime"
	"pewterline/internal/protocol/ajp"
	"pewterline/internal/protocol/pool"
)

// edgePrefix begins the names of edges: servers without a worker pool that forward to the others.
const edgePrefix = 'e'

// Kinds of final answers, as named in Observer.Answers and in request histories.
const (
	answerServed   = "served"
	answerRejected = "refused"
	answerFailed   = "failed"
)

// activeFault is a fault that affects a server until a given time.
type activeFault struct {
	kind   string
	server string
	until  microtime.Time
}

// placedRun is a run of a keyed request, together with the server that ran it and the caller that sent it there.
type placedRun struct {
	run               *run
	server            string
	caller            string // an edge if the deployment has edges
	callerIncarnation int
}

// dueAnswer is the time by which a request must have been answered.
type dueAnswer struct {
	at      microtime.Time
	request *requestState
}

// serverState is the observed state of one incarnation of a server and of its worker pool.
type serverState struct {
	name           string
	incarnation    int
	startedAt      microtime.Time
	drainSentAt    microtime.Time // Never if no drain notice was sent
	pauses         []pauseInterval
	requests       map[string]*requestState // by ID
	keys           map[string]*keyState
	runs           map[string]*run // the last run of each request, by request ID
	open           []*requestState // in order of arrival; the audit removes answered requests
	running        int             // number of runs on the cores
	runningSamples []runningSample
	stopped        bool           // the process has ended, or is no longer checked
	openPoolConns  int            // connections to its worker pool
	lastNotice     uint64         // highest number of a notice that has reached the server
	strayErrors    int            // errors in reply to messages that were no requests
	lastDialAt     microtime.Time // last attempt to connect to its worker pool
	calls          []*call        // open calls, and closed ones for a second after they were made
	healthChecks   []healthCheck
	// callAddress is the vault's address in the server's configuration; empty if not known.
	callAddress string
	// callAddressSetAt is when callAddress took effect.
	callAddressSetAt microtime.Time
	// lastBlockedNotice is the number of the last blocked notice (a run waits for a call) that the worker pool sent.
	lastBlockedNotice uint64
}

// isEdge reports whether the server is an edge, which has no worker pool.
func (s *serverState) isEdge() bool { return s.name[0] == edgePrefix }

// pausedAt reports whether the server's process is paused at a time.
func (s *serverState) pausedAt(now microtime.Time) bool {
	for _, pause := range s.pauses {
		if now >= pause.from && now <= pause.to {
			return true
		}
	}
	return false
}

// pauseInterval is an interval during which a process is paused.
type pauseInterval struct{ from, to microtime.Time }

// runningSample is the number of runs on the cores after a change; the samples give the average concurrency.
type runningSample struct {
	at      microtime.Time
	running int
}

// keyState lists the runs and attempts with one idempotency key at a server.
type keyState struct {
	runs     []*run
	attempts []*requestState
}

// run is one execution of a request at a worker pool.
type run struct {
	id          string
	requestedAt microtime.Time // start of the attempt by its caller's clock
	ended       bool
	executed    bool // false if the worker pool declined it or had nothing to do
	outcome     pool.Outcome
	result      []byte
	previous    *run // earlier run of the same request ID; only idempotent classes have one
	callPoints  []*callPoint
	// endReceivedAt is when the notice of its end reached the server; 0 if it has not.
	endReceivedAt microtime.Time
}

// note is one event in the history of a request.
type note struct {
	at   microtime.Time
	text string
}

// requestState is one attempt of a request, as received by a server.
type requestState struct {
	server         *serverState
	conn           *connState
	id             string
	class          int    // index into the settings' classes
	idempotencyKey string // prefixed with the tenant; empty if the request has none
	requestedAt    microtime.Time
	arrivedAt      microtime.Time
	sizeKB         float64
	bodyHash       uint64
	answers        int
	cancelled      bool // by its caller
	settled        bool // the rules no longer require an answer
	notes          []note
	running        bool
	answerKind     string // kind of the first answer; empty before it
	// endKnownAt is when the server learned that the request has ended: the server answered it, the caller's
	// cancellation arrived, or the caller's connection ended; 0 before that.
	endKnownAt microtime.Time
}

// awaitsAnswer reports whether the server must still answer the request.
func (r *requestState) awaitsAnswer() bool {
	return !r.settled && r.answers == 0 && !r.cancelled && !r.conn.callerLeft
}

// endKnown returns when the server learned that the request has ended; ok is false before that.
func (r *requestState) endKnown() (at microtime.Time, ok bool) { return r.endKnownAt, r.endKnownAt > 0 }

// classOf returns the settings of a request's class.
func (o *Observer) classOf(request *requestState) control.Class {
	return o.Limits.Settings.Classes[request.class]
}

// pausedSince returns for how long in total a server's process has been paused since a time.
func (o *Observer) pausedSince(server *serverState, from microtime.Time) microtime.Time {
	now := o.clock.Now()
	sum := microtime.Time(0)
	for _, pause := range server.pauses {
		sum += max(0, min(pause.to, now)-max(pause.from, from))
	}
	return sum
}

// connKind tells connections apart by protocol.
type connKind uint8

const (
	ignoredConn connKind = iota
	thriftConn           // of a caller
	ajpConn              // of a caller
	poolConn             // of a server to its worker pool
	vaultConn            // of a server to the vault
)

// connState is one connection, as observed at both ends.
type connState struct {
	kind              connKind
	server            *serverState
	fromPool          []byte // poolConn: bytes that have reached the server and are not parsed yet
	pendingToListener []byte // incomplete message to the listening side
	pendingToDialer   []byte // incomplete message from the listening side
	openRequests      map[int32]*requestState
	currentRequest    *requestState // AJP: the request whose answer is pending
	requestHead       ajp.Request
	body              []byte
	status            int
	result            []byte
	broken            bool   // message boundaries are lost; nothing more is parsed
	callerLeft        bool   // the caller closed its end, or the network cut the connection
	address           string // dialled address
	caller            string
	callerIncarnation int
	lastSequenceID    int32
}

// fromEdge reports whether the caller is an edge.
func (c *connState) fromEdge() bool { return c.caller[0] == edgePrefix }
