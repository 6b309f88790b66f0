package invariant

import (
	"fmt"
	"slices"

	"pewterline/control"
	"pewterline/internal/microtime"
	"pewterline/internal/testbed/faultsearch"
	"pewterline/internal/testbed/simnet"
)

const (
	// socketGrace extends every limit of the settings by the time that bytes spend in the sockets.
	socketGrace = 50 * microtime.Millisecond
	// crossingGrace is how long before a close a request may have arrived without the server having read it.
	crossingGrace = 50 * microtime.Millisecond
	// reservationDelay is how long after a request's arrival its server is assumed to have reserved memory for it.
	reservationDelay = 100 * microtime.Millisecond
	// auditInterval is the pause between two audits: checks that are not triggered by a message.
	auditInterval = 50 * microtime.Millisecond
	// defaultMaxViolations is the initial value of Observer.MaxViolations.
	defaultMaxViolations = 5
)

// Limits are the settings and bounds that the rules check against.
type Limits struct {
	Settings              control.Settings
	AnswerGrace           microtime.Time // after the time at which an answer is due
	DrainGrace            microtime.Time // after the drain notice
	Cores                 int
	MaxConcurrencyPerCore float64        // multiple of the cores
	MaxConcurrencyWindow  microtime.Time // period over which concurrency is averaged
	MemoryKB              float64
	RunningMemoryFactor   float64 // memory of a running request, as a multiple of its size
	WarmUpMinSpeed        float64 // fraction of full speed at a cold start
	WarmUpTime            microtime.Time
	Store                 bool // a store of record is in use: results outlive the server's process
}

// Observer checks one simulation. It must be used only on the goroutine that runs the simulation.
type Observer struct {
	Limits     Limits
	Violations []Violation
	// OnRequest, if set, is called for each request from an edge that has reached a server. The simulated worker pools
	// learn of these requests by it, as real ones know requests from the platform.
	OnRequest func(id, server, class string, body []byte)
	// OnRequestEnded, if set, is called at the end of each request that was passed to OnRequest.
	OnRequestEnded func(id string)
	// MaxViolations is the maximum number of recorded violations; further ones are dropped.
	MaxViolations int
	// Answers counts final answers by kind: "served", "refused", "failed".
	Answers map[string]int
	// SituationCounts counts the occurrences of each situation, regardless of the faults in effect.
	SituationCounts map[string]int
	// Replies counts the vault's replies by status.
	Replies map[string]int
	// Example is the history of the first served request whose run made a call.
	Example []string

	clock          *simnet.Clock
	wall           simnet.WallClock
	classIndex     map[string]int // by name, into the settings' classes
	servers        map[string]*serverState
	serversInOrder []*serverState // in the order of their first start
	conns          map[uint64]*connState
	dueAnswers     []dueAnswer // sorted by time
	nextAudit      microtime.Time
	situations     map[faultsearch.Situation]struct{}
	activeFaults   []activeFault
	resultsMade    map[string]bool        // the results of all runs on all servers
	runsByKey      map[string][]placedRun // by idempotency key, on all servers
	recordedRuns   map[string]*run        // by server and idempotency key: runs of served requests, in any incarnation
	startedRuns    map[string]*run        // by server and idempotency key: last runs started, in any incarnation
}

// New returns an observer of the simulation that clock belongs to. Its Tap must receive the events of the simulation's
// network.
func New(clock *simnet.Clock, limits Limits) *Observer {
	observer := &Observer{
		Limits:          limits,
		MaxViolations:   defaultMaxViolations,
		Answers:         map[string]int{},
		SituationCounts: map[string]int{},
		Replies:         map[string]int{},
		clock:           clock,
		classIndex:      map[string]int{},
		servers:         map[string]*serverState{},
		conns:           map[uint64]*connState{},
		situations:      map[faultsearch.Situation]struct{}{},
		resultsMade:     map[string]bool{},
		runsByKey:       map[string][]placedRun{},
		recordedRuns:    map[string]*run{},
		startedRuns:     map[string]*run{},
	}
	for i, class := range limits.Settings.Classes {
		observer.classIndex[class.Name] = i
	}
	return observer
}

// ServerStarted reports that a server starts an incarnation, with a worker pool of its own.
func (o *Observer) ServerStarted(name string, incarnation int) {
	started := &serverState{
		name:        name,
		incarnation: incarnation,
		startedAt:   o.clock.Now(),
		lastDialAt:  o.clock.Now(),
		drainSentAt: microtime.Never,
		requests:    map[string]*requestState{},
		keys:        map[string]*keyState{},
		runs:        map[string]*run{},
	}
	if previous := o.servers[name]; previous != nil {
		o.serversInOrder[slices.Index(o.serversInOrder, previous)] = started
	} else {
		o.serversInOrder = append(o.serversInOrder, started)
	}
	o.servers[name] = started
	o.noteSituation(started, fmt.Sprintf("boot life%d", min(incarnation, maxCountedIncarnation)))
}

// DrainSent reports that the drain notice has been sent to a server.
func (o *Observer) DrainSent(name string) {
	if server := o.servers[name]; server.drainSentAt == microtime.Never {
		server.drainSentAt = o.clock.Now()
	}
}

// ServerPaused reports that a server's process is paused until a time. Time limits are extended by the pause.
func (o *Observer) ServerPaused(name string, until microtime.Time) {
	server := o.servers[name]
	server.pauses = append(server.pauses, pauseInterval{o.clock.Now(), until})
}

// ServerStopped reports that a server's process has exited by itself or was killed.
func (o *Observer) ServerStopped(name string, exited bool) {
	server := o.servers[name]
	if server.stopped {
		return
	}
	server.stopped = true
	o.checkStopped(server, exited)
	server.open = nil
}

// CallsRoutedTo reports that a server's configuration now names this address of the vault for its calls.
func (o *Observer) CallsRoutedTo(name, address string) {
	server := o.servers[name]
	server.callAddress = address
	server.callAddressSetAt = o.clock.Now()
}

// Check applies the rules that depend on the time. It must be called after every step of the simulation.
func (o *Observer) Check() {
	now := o.clock.Now()
	o.checkOverdue(now)
	if now < o.nextAudit {
		return
	}
	o.nextAudit = now + auditInterval
	for _, server := range o.serversInOrder {
		if !server.stopped {
			o.auditServer(server, now)
		}
	}
}

// auditServer applies the rules that no single message triggers.
func (o *Observer) auditServer(server *serverState, now microtime.Time) {
	o.checkReconnect(server, now)
	o.auditCalls(server, now)
	o.auditHealthChecks(server, now)
	o.checkMemory(server, now)
	o.checkConcurrency(server, now)
}

// Unanswered returns the number of requests on all servers that must still be answered.
func (o *Observer) Unanswered() int {
	count := 0
	for _, server := range o.serversInOrder {
		for _, request := range server.open {
			if request.awaitsAnswer() {
				count++
			}
		}
	}
	return count
}
