// Package invariant looks on while a world runs and judges whether the program keeps its rules. It sees bytes and times
// at the machines' edges, and nothing of the program's insides:
//
//   - lost: each request read gets one final answer by its time, unless its caller gave it up or left.
//   - duplicate: no request is answered twice; an intake is run once on a server within its window, which counts from
//     the 'at' of the try that ran; nobody who ran is refused.
//   - result: what is served is what a run made for that request, or for another try of the same intake.
//   - drain: nothing runs that arrived too long after the notice to leave (DrainMost), and all that was read is answered before
//     the end.
//   - fall-over: the memory booked and the crowd on the cores stay within the settings' bounds.
//   - call: a call of a request with an effect is made once, unless it is proven not to have run; a request has one call open at
//     most, and none once it is over; a reply reaches the run that it is for, unchanged.
//   - check: a deep health check is answered in time.
package invariant

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"pewterline/control"
	"pewterline/internal/microtime"
	"pewterline/internal/testbed/faultsearch"
	"pewterline/internal/testbed/simnet"
)

const (
	socketGrace = 50 * microtime.Millisecond // by which every limit is longer on sockets
	crossing    = 50 * microtime.Millisecond // a request that meets a close
	bookedFrom  = 100 * microtime.Millisecond
	auditEvery  = 50 * microtime.Millisecond
)

// Limits are the figures of the settings that the rules need.
type Limits struct {
	Settings              control.Settings
	AnswerGrace           microtime.Time // past a due time
	DrainGrace            microtime.Time // after the notice
	Cores                 int
	MaxConcurrencyPerCore float64 // multiple of the cores
	MaxConcurrencyWindow  microtime.Time
	MemoryKB              float64
	RunningMemoryFactor   float64
	WarmUpMinSpeed        float64
	WarmUpTime            microtime.Time
	Store                 bool // a store of record is on: what was answered outlives the server
}

// Violation is a broken rule, with all that was seen of the request.
type Violation struct {
	Rule    string
	Server  string
	At      microtime.Time // since the world's start
	Message string
	History []string
}

func (v Violation) String() string {
	s := fmt.Sprintf("%s on %s at %v: %s", v.Rule, v.Server, v.At.Duration(), v.Message)
	for _, h := range v.History {
		s += "\n    " + h
	}
	return s
}

// Key tells violations of one sort from others: what the shrinker must preserve.
func (v Violation) Key() string {
	head, _, _ := strings.Cut(v.Message, ":")
	return v.Rule + "/" + head
}

// Observer judges one world.
type Observer struct {
	Limits     Limits
	Violations []Violation
	// OnRequest and OnOver, where they are set, hear of each request that an edge has got to a server, and of its end: what a
	// worker pool of the platform knows by itself.
	OnRequest       func(id, server, class string, body []byte)
	OnRequestEnded  func(id string)
	MaxViolations   int // violations that are told; further ones are counted alone
	Answers         map[string]int
	SituationCounts map[string]int // how often each situation came about, faults aside
	Replies         map[string]int // of the vault to calls, by status
	Example         []string       // what was seen of the first request that was served after its run had made a call

	w       *simnet.World
	wall    simnet.WallClock
	classes map[string]int
	servers map[string]*server
	order   []*server
	conns   map[uint64]*conn
	dues    []due // sorted by time, as deadlines of a class come in order
	audit   microtime.Time
	reached map[faultsearch.Situation]struct{}
	faulty  []fault
	made    map[string]bool        // results of all runs anywhere
	ran     map[string][]globalRun // by once-key, at any server
	stored  map[string]*run        // by server and once-key: intakes answered as served, in any life
	begun   map[string]*run        // by server and once-key: intakes that reached the worker pool, in any life
}

// New returns an observer of a world. Its Tap is for the network.
func New(w *simnet.World, r Limits) *Observer {
	o := &Observer{Limits: r, MaxViolations: 5, w: w, classes: map[string]int{}, servers: map[string]*server{}, conns: map[uint64]*conn{},
		Answers: map[string]int{}, SituationCounts: map[string]int{}, Replies: map[string]int{}, stored: map[string]*run{}, begun: map[string]*run{}, made: map[string]bool{}, ran: map[string][]globalRun{}, reached: map[faultsearch.Situation]struct{}{}}
	for i, c := range r.Settings.Classes {
		o.classes[c.Name] = i
	}
	return o
}

// ServerStarted says that a server starts, with a worker pool of its own.
func (o *Observer) ServerStarted(name string, life int) {
	s := &server{name: name, life: life, born: o.w.Now(), tried: o.w.Now(), noticed: microtime.Never, reqs: map[string]*request{}, keys: map[string]*key{}, runs: map[string]*run{}}
	if old := o.servers[name]; old != nil {
		i := slices.Index(o.order, old)
		o.order[i] = s
	} else {
		o.order = append(o.order, s)
	}
	o.servers[name] = s
	o.reach(s, fmt.Sprintf("boot life%d", min(life, 3)))
}

// DrainSent says that the notice to leave has been sent to a server.
func (o *Observer) DrainSent(name string) {
	if s := o.servers[name]; s.noticed == microtime.Never {
		s.noticed = o.w.Now()
	}
}

// ServerPaused says that a server's process stands still until a time, which is not counted against it.
func (o *Observer) ServerPaused(name string, until microtime.Time) {
	s := o.servers[name]
	s.paused = append(s.paused, span{o.w.Now(), until})
}

// ServerStopped says that a server's process is no more: killed, or ended of itself.
func (o *Observer) ServerStopped(name string, itself bool) {
	s := o.servers[name]
	if s.ended {
		return
	}
	s.ended = true
	o.judgeEnd(s, itself)
	s.open = nil
}

func (o *Observer) note(r *request, format string, args ...any) {
	r.notes = append(r.notes, note{o.w.Since(), fmt.Sprintf(format, args...)})
}

func (o *Observer) report(rule string, s *server, r *request, format string, args ...any) {
	v := Violation{Rule: rule, Server: s.name, At: o.w.Since(), Message: fmt.Sprintf(format, args...)}
	if r != nil {
		v.History = o.history(s, r)
	}
	if len(o.Violations) < o.MaxViolations {
		o.Violations = append(o.Violations, v)
	}
}

// history is what was seen of a request, with all tries of its intake, in the order of time.
func (o *Observer) history(s *server, r *request) (out []string) {
	all := []*request{r}
	if k := s.keys[r.once]; r.once != "" && k != nil {
		all = k.tries
	}
	type line struct {
		note
		id string
	}
	var lines []line
	for _, q := range all {
		for _, n := range q.notes {
			lines = append(lines, line{n, q.id})
		}
	}
	slices.SortStableFunc(lines, func(a, b line) int { return cmp.Compare(a.at, b.at) })
	for _, l := range lines {
		out = append(out, fmt.Sprintf("%v %s %s", l.at.Duration(), l.id, l.text))
	}
	return out
}

// Check judges what is due by the clock; it is called after every step of the world.
func (o *Observer) Check() {
	now := o.w.Now()
	o.judgeDue(now)
	if now < o.audit {
		return
	}
	o.audit = now + auditEvery
	for _, s := range o.order {
		if !s.ended {
			o.auditServer(s, now)
		}
	}
}

// auditServer judges what is not tied to one message.
func (o *Observer) auditServer(s *server, now microtime.Time) {
	o.judgeRedial(s, now)
	o.auditCalls(s, now)
	o.auditChecks(s, now)
	o.judgeMemory(s, now)
	o.judgeCrowd(s, now)
}

// Unanswered counts the requests that are owed an answer anywhere.
func (o *Observer) Unanswered() (n int) {
	for _, s := range o.order {
		for _, r := range s.open {
			if o.owed(r) {
				n++
			}
		}
	}
	return n
}
