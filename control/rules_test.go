package control_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pewterline/control"
)

// book keeps its own account of every request and asserts the four rules after each step. It knows nothing of
// speeds: what ends, and how, is drawn. A change that drops a guard must fail here: the late answer, the repeat run
// again, the run after the grace, the crowd, one call too many, the uncertain call repeated.
type book struct {
	t       *rapid.T
	s       control.Settings
	now     time.Duration
	reqs    map[control.RequestID]*retainedKey
	next    control.RequestID
	drainAt time.Duration
	stop    time.Duration
	arrived map[uint64]time.Duration
	keepEnd map[uint64]time.Duration
	keepID  map[uint64]control.RequestID
	batch   map[uint64]control.RequestID // keyed tries of this step
	hands   []float64                    // call seconds in hand in each step, the abandoned included
	lingers []time.Duration
}

const step = 20 * time.Millisecond

// callOutcomes are how a call can end.
var callOutcomes = []control.Outcome{control.OutcomeOK, control.OutcomeError, control.OutcomeRejected,
	control.OutcomeTimeout,
	control.OutcomeUnreachable, control.OutcomeReset, control.OutcomeAlreadyEnded}

type retainedKey struct {
	a                        control.RequestArrived
	at, due                  time.Duration
	state                    string // held, run, atcall, call, joined, over
	answered, started, maybe bool   // maybe: a call of it may have taken effect
	timeout                  time.Duration
}

func settings(t *rapid.T) control.Settings {
	b := func(name string) bool { return rapid.Bool().Draw(t, name) }
	s := control.Settings{
		Seed: rapid.Uint64().Draw(t, "seed"), Cores: rapid.IntRange(1, 16).Draw(t, "cores"), Peers: rapid.IntRange(1,
			500).Draw(t, "peers"), Callers: 900, MaxKeepAlive: 30 * time.Second,
		ColdStart: b("cold"), MemoryKB: rapid.Float64Range(500, 2e4).Draw(t, "memory"), KeyKB: 20,
		RunningMemoryFactor: rapid.Float64Range(2, 16).Draw(t, "factor"), MaxConcurrencyPerCore: rapid.Float64Range(2,
			8).Draw(t, "crowd"),
		MaxConcurrencyWindow: 2 * time.Second, WarmUpMinSpeed: 0.2, WarmUpTime: 10 * time.Second,
		Dependency:           control.Dependency(rapid.IntRange(0, 2).Draw(t, "below")),
		CallConcurrencyShare: rapid.Float64Range(0.3, 8).Draw(t, "share"), CallConcurrencyWindow: 5 * time.Second,
		AbandonedCallTime: 200 * time.Millisecond,
		AnswerGrace:       80 * time.Millisecond, DrainGrace: 2 * time.Second, DeadlinePropagated: b("deadline"),
		WeightPerWork: b("by work"), OverQuotaWeightShare: 0.1, Preemption: control.PreemptionMode(rapid.IntRange(0,
			2).Draw(t, "stop")),
		LoadSignal: control.LoadSignalKind(rapid.IntRange(0, 3).Draw(t, "signal")), MaxRetryAfter: time.Second,
	}
	for i := range rapid.IntRange(1, 4).Draw(t, "classes") {
		s.Classes = append(s.Classes, control.Class{LatencyObjective: time.Duration(1+i) * time.Second,
			Deadline:        6 * time.Second,
			RetentionWindow: 20 * time.Second, Weight: float64(1 + i%3), Idempotency: control.Idempotency(rapid.IntRange(0,
				2).Draw(t, "effect")),
			MakesCalls: s.Dependency != control.DependencyNone && b("calls")})
	}
	if b("tenants") {
		s.Tenants = []control.Tenant{{Quota: 0.5}, {Quota: 50}}
	}
	return s
}

func (b *book) fault(format string, args ...any) {
	b.t.Fatalf("at %v: "+format, append([]any{b.now}, args...)...)
}

func (b *book) class(e *retainedKey) control.Class { return b.s.Classes[e.a.Class] }

func (b *book) arrive() control.Event {
	t := b.t
	b.next++
	a := control.RequestArrived{ID: b.next, Class: rapid.IntRange(0, len(b.s.Classes)-1).Draw(t, "class"), Tenant: 1,
		Age: time.Duration(rapid.IntRange(0, 900).Draw(t, "age")) * time.Millisecond, QueuedKB: rapid.Float64Range(1,
			60).Draw(t, "kb"),
		Key: uint64(rapid.IntRange(1, 5).Draw(t, "subject")), Caller: uint32(rapid.IntRange(0, 900).Draw(t, "caller"))}
	e := &retainedKey{a: a, at: b.now - a.Age, state: "held"}
	e.due = e.at + b.s.Classes[a.Class].Deadline
	if b.s.DeadlinePropagated {
		e.due = b.now + time.Duration(rapid.IntRange(1, 5000).Draw(t, "patience"))*time.Millisecond
		e.a.Deadline = e.due
	}
	k := a.Key + 100*uint64(a.Class)
	if b.class(e).Idempotency == control.IdempotentByKey {
		if end, ok := b.keepEnd[k]; ok && e.at < end {
			e.a.Original = b.keepID[k]
		}
		// Tries read in one batch see each other even before they are kept.
		if id, ok := b.batch[k]; ok {
			e.a.Original = id
		}
		b.batch[k] = a.ID
		e.a.Key = k
	}
	b.reqs[a.ID] = e
	return e.a
}

// happen draws one event for a live request, legal in its state.
func (b *book) happen(id control.RequestID, e *retainedKey) control.Event {
	t := b.t
	switch e.state {
	case "run":
		if b.class(e).MakesCalls && rapid.Bool().Draw(t, "needs a call") {
			e.state = "atcall"
			if e.answered {
				e.state = "over"
				return control.RequestFinished{ID: id, Outcome: control.OutcomeCancelled}
			}
			return control.CallNeeded{ID: id}
		}
		e.state = "over"
		o := control.Outcome(rapid.IntRange(0, 1).Draw(t, "outcome"))
		e.answered = true
		return control.RequestFinished{ID: id, Outcome: o}
	case "call":
		if b.now < e.timeout && rapid.IntRange(0, 3).Draw(t, "call goes on") > 0 {
			return nil
		}
		o := rapid.SampledFrom(callOutcomes).Draw(t, "call outcome")
		e.state = "run"
		if o != control.OutcomeOK {
			e.state = "atcall"
			e.maybe = e.maybe || o != control.OutcomeRejected && o != control.OutcomeUnreachable &&
				o != control.OutcomeAlreadyEnded
		}
		return control.CallFinished{ID: id, Outcome: o, Took: 100 * time.Millisecond}
	case "atcall":
		if e.answered {
			e.state = "over"
			return control.RequestFinished{ID: id, Outcome: control.OutcomeCancelled}
		}
	case "joined":
		e.state, e.answered = "over", true
		return control.RequestFinished{ID: id, Outcome: control.OutcomeOK}
	case "held":
		if rapid.IntRange(0, 9).Draw(t, "leaves") == 0 {
			e.state, e.answered = "over", true
			return control.RequestCancelled{ID: id}
		}
	}
	return nil
}

func (b *book) carry(a control.Action) {
	get := func(id control.RequestID) *retainedKey {
		e := b.reqs[id]
		if e == nil {
			b.fault("action on unknown request %d", id)
		}
		return e
	}
	switch a := a.(type) {
	case control.Start:
		e := get(a.ID)
		if e.state != "held" || e.started {
			b.fault("run of %d in state %s, ran %v", a.ID, e.state, e.started)
		}
		if b.drainAt > 0 && e.at > b.drainAt+b.s.DrainGrace {
			b.fault("run of %d after the grace", a.ID)
		}
		if b.class(e).Idempotency == control.IdempotentByKey {
			if b.keepID[e.a.Key] != a.ID || b.keepEnd[e.a.Key] < e.at+b.class(e).RetentionWindow {
				b.fault("keyed %d runs without an entry for its window", a.ID)
			}
			if was, ok := b.arrived[e.a.Key]; ok && e.at < was+b.class(e).RetentionWindow {
				b.fault("second run of an effect by %d", a.ID)
			}
			b.arrived[e.a.Key] = e.at
		}
		e.state, e.started = "run", true
	case control.Reject:
		e := get(a.ID)
		if e.answered || e.started || e.state == "over" || e.state == "joined" {
			b.fault("refusal of %d: answered %v, ran %v, %s", a.ID, e.answered, e.started, e.state)
		}
		e.state, e.answered = "over", true
	case control.Fail:
		e := get(a.ID)
		if e.answered {
			b.fault("second answer to %d", a.ID)
		}
		e.answered = true
		if e.state == "held" || e.state == "joined" {
			e.state = "over"
		}
	case control.Call:
		e := get(a.ID)
		if e.maybe && b.class(e).Idempotency != control.Idempotent {
			b.fault("call of %d repeated though it may have taken effect", a.ID)
		}
		e.state, e.timeout = "call", b.now+a.Timeout
	case control.ReplayResult:
		if e := get(a.ID); e.a.Original == 0 || e.state != "held" {
			b.fault("reuse by %d in state %s", a.ID, e.state)
		} else {
			e.state = "joined"
		}
	case control.RetainKey:
		e := get(a.ID)
		b.keepID[e.a.Key], b.keepEnd[e.a.Key] = a.ID, b.now+a.TTL
	case control.ReleaseKey:
		e := get(a.ID)
		if e.started {
			b.fault("entry of %d forgotten though it ran", a.ID)
		}
		if b.keepID[e.a.Key] == a.ID {
			delete(b.keepEnd, e.a.Key)
		}
	case control.Preempt:
		if e := get(a.ID); b.s.Preemption == control.PreemptNever || !e.answered {
			b.fault("pause of %d", a.ID)
		} else if e.state == "run" {
			e.state = "over"
		}
	}
}

// check asserts memory, crowd, calls and answers due, after the actions of a step.
func (b *book) check(late time.Duration) {
	kb, onCore, calls := 0.0, 0, 0
	for id, e := range b.reqs {
		switch e.state {
		case "held", "joined":
			kb += e.a.QueuedKB
		case "run", "atcall", "call":
			kb += e.a.QueuedKB * b.s.RunningMemoryFactor
			if e.state == "run" {
				onCore++
			} else if e.state == "call" {
				calls++
			}
		}
		if !e.answered && b.now > max(e.due, e.at)+b.s.AnswerGrace && late < b.s.AnswerGrace {
			b.fault("no answer to %d, due at %v", id, e.due)
		}
		if !e.answered && b.stop > 0 && b.now >= b.stop {
			b.fault("no answer to %d at the stop", id)
		}
	}
	for _, end := range b.keepEnd {
		if b.now < end {
			kb += b.s.KeyKB
		}
	}
	if kb > b.s.MemoryKB {
		b.fault("%.0f kB of %.0f", kb, b.s.MemoryKB)
	}
	share := 1.0
	if b.s.ColdStart {
		share = min(1, 0.2+0.8*b.now.Seconds()/10)
	}
	if ceiling := float64(b.s.Cores) * (1 + (b.s.MaxConcurrencyPerCore-1)*share); float64(onCore) > ceiling {
		b.fault("%d on the cores, %.1f survive", onCore, ceiling)
	}
	b.lingers = slices.DeleteFunc(b.lingers, func(end time.Duration) bool { return end <= b.now })
	b.hands = append(b.hands, float64(calls+len(b.lingers))*step.Seconds())
	spent := 0.0
	for _, x := range b.hands[max(0, len(b.hands)-int(b.s.CallConcurrencyWindow/step)):] {
		spent += x
	}
	if b.s.Dependency == control.DependencyShared && spent > b.s.CallConcurrencyShare*b.s.CallConcurrencyWindow.Seconds() {
		b.fault("%.2f call seconds in a window, the share is %.2f calls", spent, b.s.CallConcurrencyShare)
	}
	if b.s.Dependency == control.DependencyShared && float64(calls) > max(1, b.s.CallConcurrencyShare) {
		b.fault("%d calls in hand of %.1f", calls, b.s.CallConcurrencyShare)
	}
}

func TestFourRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := settings(t)
		c, err := control.New(s)
		if err != nil {
			t.Fatal(err)
		}
		b := &book{t: t, s: s, reqs: map[control.RequestID]*retainedKey{}, arrived: map[uint64]time.Duration{},
			keepEnd: map[uint64]time.Duration{}, keepID: map[uint64]control.RequestID{}}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			if b.stop > 0 && b.now+40*time.Millisecond >= b.stop {
				break
			}
			dt := step
			if rapid.IntRange(0, 19).Draw(t, "stall") == 0 && b.stop == 0 {
				dt = 700 * time.Millisecond // the process stood still
			}
			b.now += dt
			events := []control.Event{control.Tick{Gauges: control.Gauges{CPUUtilization: rapid.Float64Range(0, 1).Draw(t,
				"busy"), Runnable: 1}}}
			for id := control.RequestID(1); id <= b.next; id++ {
				e := b.reqs[id]
				if e.state == "call" && b.now >= e.timeout {
					e.state, e.maybe = "atcall", true
					b.lingers = append(b.lingers, b.now+b.s.AbandonedCallTime)
					events = append(events, control.CallFinished{ID: id, Outcome: control.OutcomeTimeout})
				} else if e.state != "over" && rapid.IntRange(0, 7).Draw(t, "happens") == 0 {
					if ev := b.happen(id, e); ev != nil {
						events = append(events, ev)
					}
				}
			}
			b.batch = map[uint64]control.RequestID{}
			for range rapid.IntRange(0, 5).Draw(t, "arrivals") {
				events = append(events, b.arrive())
			}
			if b.drainAt == 0 && rapid.IntRange(0, 99).Draw(t, "drain") == 0 {
				b.drainAt, b.stop = b.now, b.now+4*time.Second
				events = append(events, control.DrainRequested{StopAt: b.stop})
			}
			for _, a := range c.Step(b.now, events) {
				b.carry(a)
			}
			b.check(dt)
		}
	})
}

// The same events give the same actions.
func TestDeterminism(t *testing.T) {
	run := func() (all []control.Action) {
		s := control.Settings{Seed: 3, Cores: 2, Classes: []control.Class{
			{LatencyObjective: time.Second, Deadline: 4 * time.Second, Weight: 1, RetentionWindow: time.Minute,
				Idempotency: control.IdempotentByKey},
			{LatencyObjective: time.Second, Deadline: 4 * time.Second, Weight: 2}}}
		c, _ := control.New(s)
		for i := range 300 {
			ev := []control.Event{control.RequestArrived{ID: control.RequestID(i + 1), Class: i % 2, QueuedKB: 1,
				Key: uint64(i)}, control.Tick{}}
			if i > 20 {
				ev = append(ev, control.RequestFinished{ID: control.RequestID(i - 19)})
			}
			all = append(all, c.Step(time.Duration(i)*20*time.Millisecond, ev)...)
		}
		return all
	}
	a, b := run(), run()
	if len(a) != len(b) || len(a) < 300 {
		t.Fatalf("%d and %d actions", len(a), len(b))
	}
	for i := range a {
		if a[i] != b[i] {
			t.Fatalf("action %d: %v and %v", i, a[i], b[i])
		}
	}
}
