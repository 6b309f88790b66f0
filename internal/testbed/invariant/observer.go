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
	// socketGrace is how much longer every limit is than the settings say, for the way through the sockets.
	socketGrace = 50 * microtime.Millisecond
	// crossingGrace is how long before a close a request may have arrived without the server having seen it.
	crossingGrace = 50 * microtime.Millisecond
	// reservedAfter is how long after its arrival a request counts as one that the server has reserved memory for.
	reservedAfter = 100 * microtime.Millisecond
	// auditInterval is the pause between two audits of what is tied to no single message.
	auditInterval = 50 * microtime.Millisecond
	// defaultMaxViolations is how many violations are recorded unless the user of the observer says otherwise.
	defaultMaxViolations = 5
)

// Limits are the figures of the settings that the rules need.
type Limits struct {
	Settings              control.Settings
	AnswerGrace           microtime.Time // past the time by which an answer is due
	DrainGrace            microtime.Time // after the drain notice
	Cores                 int
	MaxConcurrencyPerCore float64        // multiple of the cores
	MaxConcurrencyWindow  microtime.Time // over which concurrency is averaged
	MemoryKB              float64
	RunningMemoryFactor   float64 // memory of a running request, as a multiple of its size
	WarmUpMinSpeed        float64 // share of the full speed at a cold start
	WarmUpTime            microtime.Time
	Store                 bool // a store of record is on: what was answered outlives the server
}

// Observer checks one world. It is used on the world's goroutine alone.
type Observer struct {
	Limits     Limits
	Violations []Violation
	// OnRequest, where it is set, is called for each request that an edge has got to a server: what a worker pool of the
	// platform knows by itself.
	OnRequest func(id, server, class string, body []byte)
	// OnRequestEnded, where it is set, is called at the end of each such request.
	OnRequestEnded func(id string)
	// MaxViolations is how many violations are recorded; further ones are dropped.
	MaxViolations int
	// Answers counts final answers by kind: "served", "refused", "failed".
	Answers map[string]int
	// SituationCounts is how often each situation came about, faults aside.
	SituationCounts map[string]int
	// Replies counts the vault's replies to calls by status.
	Replies map[string]int
	// Example is the history of the first request that was served after its run had made a call.
	Example []string

	world          *simnet.World
	wall           simnet.WallClock
	classIndex     map[string]int // by name, into the settings' classes
	servers        map[string]*serverState
	serversInOrder []*serverState // in the order of their first start
	conns          map[uint64]*connState
	dueAnswers     []dueAnswer // sorted by time, as the deadlines of a class come in order
	nextAudit      microtime.Time
	situations     map[faultsearch.Situation]struct{}
	activeFaults   []activeFault
	resultsMade    map[string]bool        // the results of all runs anywhere
	runsByKey      map[string][]globalRun // by idempotency key, at any server
	recordedRuns   map[string]*run        // by server and idempotency key: answered as served, in any incarnation
	begunRuns      map[string]*run        // by server and idempotency key: reached the worker pool, in any incarnation
}

// New returns an observer of a world. Its Tap is for the network.
func New(world *simnet.World, limits Limits) *Observer {
	observer := &Observer{
		Limits:          limits,
		MaxViolations:   defaultMaxViolations,
		Answers:         map[string]int{},
		SituationCounts: map[string]int{},
		Replies:         map[string]int{},
		world:           world,
		classIndex:      map[string]int{},
		servers:         map[string]*serverState{},
		conns:           map[uint64]*connState{},
		situations:      map[faultsearch.Situation]struct{}{},
		resultsMade:     map[string]bool{},
		runsByKey:       map[string][]globalRun{},
		recordedRuns:    map[string]*run{},
		begunRuns:       map[string]*run{},
	}
	for i, class := range limits.Settings.Classes {
		observer.classIndex[class.Name] = i
	}
	return observer
}

// ServerStarted says that a server starts its incarnation of that number, with a worker pool of its own.
func (o *Observer) ServerStarted(name string, incarnation int) {
	started := &serverState{
		name:        name,
		incarnation: incarnation,
		startedAt:   o.world.Now(),
		lastDialAt:  o.world.Now(),
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

// DrainSent says that the drain notice has been sent to a server.
func (o *Observer) DrainSent(name string) {
	if server := o.servers[name]; server.drainSentAt == microtime.Never {
		server.drainSentAt = o.world.Now()
	}
}

// ServerPaused says that a server's process stands still until a time, which is not counted against it.
func (o *Observer) ServerPaused(name string, until microtime.Time) {
	server := o.servers[name]
	server.pauses = append(server.pauses, span{o.world.Now(), until})
}

// ServerStopped says that a server's process is no more: it was killed, or it ended of itself.
func (o *Observer) ServerStopped(name string, itself bool) {
	server := o.servers[name]
	if server.stopped {
		return
	}
	server.stopped = true
	o.judgeStopped(server, itself)
	server.open = nil
}

// CallsRoutedTo says that from now on a server's configuration has its calls go to an address of the vault.
func (o *Observer) CallsRoutedTo(name, address string) {
	server := o.servers[name]
	server.callAddress = address
	server.callAddressSetAt = o.world.Now()
}

// Check judges what is due by the clock; it is called after every step of the world.
func (o *Observer) Check() {
	now := o.world.Now()
	o.judgeOverdue(now)
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

// auditServer judges what is not tied to one message.
func (o *Observer) auditServer(server *serverState, now microtime.Time) {
	o.judgeReconnect(server, now)
	o.auditCalls(server, now)
	o.auditHealthChecks(server, now)
	o.judgeMemory(server, now)
	o.judgeConcurrency(server, now)
}

// Unanswered counts the requests that are owed an answer anywhere.
func (o *Observer) Unanswered() int {
	count := 0
	for _, server := range o.serversInOrder {
		for _, request := range server.open {
			if request.isOwed() {
				count++
			}
		}
	}
	return count
}
