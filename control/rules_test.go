package control_test

import (
	"slices"
	"testing"
	"time"

	"pewterline/control"
	"pgregory.net/rapid"
)

// book keeps its own account of every request and asserts the four rules after each step. It knows nothing of
// speeds: what ends, and how, is drawn. A change that drops a guard must fail here: the late answer, the repeat run
// again, the run after the grace, the crowd, one call too many, the uncertain call repeated.
type book struct {
	t       *rapid.T
	s       control.Settings
	now     time.Duration
	reqs    map[control.ID]*entry
	next    control.ID
	drainAt time.Duration
	stop    time.Duration
	arrived map[uint64]time.Duration
	keepEnd map[uint64]time.Duration
	keepID  map[uint64]control.ID
	batch   map[uint64]control.ID // keyed tries of this step
	hands   []float64             // call seconds in hand in each step, the abandoned included
	lingers []time.Duration
}

const step = 20 * time.Millisecond

// callOutcomes are how a call can end.
var callOutcomes = []control.Outcome{control.OutcomeOK, control.OutcomeError, control.OutcomeFull, control.OutcomeTimeout,
	control.OutcomeUnreached, control.OutcomeReset, control.OutcomeMoot}

type entry struct {
	a                    control.Arrive
	at, due              time.Duration
	state                string // held, run, atcall, call, joined, over
	answered, ran, maybe bool   // maybe: a call of it may have taken effect
	timeout              time.Duration
}

func settings(t *rapid.T) control.Settings {
	b := func(name string) bool { return rapid.Bool().Draw(t, name) }
	s := control.Settings{
		Seed: rapid.Uint64().Draw(t, "seed"), Cores: rapid.IntRange(1, 16).Draw(t, "cores"), Peers: rapid.IntRange(1, 500).Draw(t, "peers"), Callers: 900, KeepAliveMax: 30 * time.Second,
		Cold: b("cold"), MemoryKB: rapid.Float64Range(500, 2e4).Draw(t, "memory"), KeyKB: 20,
		RunFactor: rapid.Float64Range(2, 16).Draw(t, "factor"), CrowdPerCore: rapid.Float64Range(2, 8).Draw(t, "crowd"),
		CrowdOver: 2 * time.Second, ColdFrom: 0.2, Ramp: 10 * time.Second, Below: control.Below(rapid.IntRange(0, 2).Draw(t, "below")),
		CallsShare: rapid.Float64Range(0.3, 8).Draw(t, "share"), CallsOver: 5 * time.Second, CallLinger: 200 * time.Millisecond,
		AnswerSlack: 80 * time.Millisecond, DrainGrace: 2 * time.Second, HasDeadline: b("deadline"),
		WorthByWork: b("by work"), OverShare: 0.1, Stop: control.StopMode(rapid.IntRange(0, 2).Draw(t, "stop")),
		Signal: control.SignalKind(rapid.IntRange(0, 3).Draw(t, "signal")), MaxRetryAfter: time.Second,
	}
	for i := range rapid.IntRange(1, 4).Draw(t, "classes") {
		s.Classes = append(s.Classes, control.Class{Aim: time.Duration(1+i) * time.Second, Deadline: 6 * time.Second,
			Window: 20 * time.Second, Worth: float64(1 + i%3), Effect: control.Effect(rapid.IntRange(0, 2).Draw(t, "effect")),
			Calls: s.Below != control.BelowNone && b("calls")})
	}
	if b("tenants") {
		s.Tenants = []control.Tenant{{Quota: 0.5}, {Quota: 50}}
	}
	return s
}

func (b *book) fault(format string, args ...any) {
	b.t.Fatalf("at %v: "+format, append([]any{b.now}, args...)...)
}

func (b *book) class(e *entry) control.Class { return b.s.Classes[e.a.Class] }

func (b *book) arrive() control.Event {
	t := b.t
	b.next++
	a := control.Arrive{ID: b.next, Class: rapid.IntRange(0, len(b.s.Classes)-1).Draw(t, "class"), Tenant: 1,
		Age: time.Duration(rapid.IntRange(0, 900).Draw(t, "age")) * time.Millisecond, HeldKB: rapid.Float64Range(1, 60).Draw(t, "kb"),
		Key: uint64(rapid.IntRange(1, 5).Draw(t, "subject")), Caller: uint32(rapid.IntRange(0, 900).Draw(t, "caller"))}
	e := &entry{a: a, at: b.now - a.Age, state: "held"}
	e.due = e.at + b.s.Classes[a.Class].Deadline
	if b.s.HasDeadline {
		e.due = b.now + time.Duration(rapid.IntRange(1, 5000).Draw(t, "patience"))*time.Millisecond
		e.a.Due = e.due
	}
	k := a.Key + 100*uint64(a.Class)
	if b.class(e).Effect == control.Keyed {
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
func (b *book) happen(id control.ID, e *entry) control.Event {
	t := b.t
	switch e.state {
	case "run":
		if b.class(e).Calls && rapid.Bool().Draw(t, "needs a call") {
			e.state = "atcall"
			if e.answered {
				e.state = "over"
				return control.Done{ID: id, Outcome: control.OutcomeCancelled}
			}
			return control.CallNeeded{ID: id}
		}
		e.state = "over"
		o := control.Outcome(rapid.IntRange(0, 1).Draw(t, "outcome"))
		e.answered = true
		return control.Done{ID: id, Outcome: o}
	case "call":
		if b.now < e.timeout && rapid.IntRange(0, 3).Draw(t, "call goes on") > 0 {
			return nil
		}
		o := rapid.SampledFrom(callOutcomes).Draw(t, "call outcome")
		e.state = "run"
		if o != control.OutcomeOK {
			e.state = "atcall"
			e.maybe = e.maybe || o != control.OutcomeFull && o != control.OutcomeUnreached && o != control.OutcomeMoot
		}
		return control.CallDone{ID: id, Outcome: o, Took: 100 * time.Millisecond}
	case "atcall":
		if e.answered {
			e.state = "over"
			return control.Done{ID: id, Outcome: control.OutcomeCancelled}
		}
	case "joined":
		e.state, e.answered = "over", true
		return control.Done{ID: id, Outcome: control.OutcomeOK}
	case "held":
		if rapid.IntRange(0, 9).Draw(t, "leaves") == 0 {
			e.state, e.answered = "over", true
			return control.Gone{ID: id}
		}
	}
	return nil
}

func (b *book) carry(a control.Action) {
	get := func(id control.ID) *entry {
		e := b.reqs[id]
		if e == nil {
			b.fault("action on unknown request %d", id)
		}
		return e
	}
	switch a := a.(type) {
	case control.Run:
		e := get(a.ID)
		if e.state != "held" || e.ran {
			b.fault("run of %d in state %s, ran %v", a.ID, e.state, e.ran)
		}
		if b.drainAt > 0 && e.at > b.drainAt+b.s.DrainGrace {
			b.fault("run of %d after the grace", a.ID)
		}
		if b.class(e).Effect == control.Keyed {
			if b.keepID[e.a.Key] != a.ID || b.keepEnd[e.a.Key] < e.at+b.class(e).Window {
				b.fault("keyed %d runs without an entry for its window", a.ID)
			}
			if was, ok := b.arrived[e.a.Key]; ok && e.at < was+b.class(e).Window {
				b.fault("second run of an effect by %d", a.ID)
			}
			b.arrived[e.a.Key] = e.at
		}
		e.state, e.ran = "run", true
	case control.Refuse:
		e := get(a.ID)
		if e.answered || e.ran || e.state == "over" || e.state == "joined" {
			b.fault("refusal of %d: answered %v, ran %v, %s", a.ID, e.answered, e.ran, e.state)
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
		if e.maybe && b.class(e).Effect != control.Safe {
			b.fault("call of %d repeated though it may have taken effect", a.ID)
		}
		e.state, e.timeout = "call", b.now+a.Timeout
	case control.Reuse:
		if e := get(a.ID); e.a.Original == 0 || e.state != "held" {
			b.fault("reuse by %d in state %s", a.ID, e.state)
		} else {
			e.state = "joined"
		}
	case control.Keep:
		e := get(a.ID)
		b.keepID[e.a.Key], b.keepEnd[e.a.Key] = a.ID, b.now+a.For
	case control.Forget:
		e := get(a.ID)
		if e.ran {
			b.fault("entry of %d forgotten though it ran", a.ID)
		}
		if b.keepID[e.a.Key] == a.ID {
			delete(b.keepEnd, e.a.Key)
		}
	case control.Pause:
		if e := get(a.ID); b.s.Stop == control.StopNever || !e.answered {
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
			kb += e.a.HeldKB
		case "run", "atcall", "call":
			kb += e.a.HeldKB * b.s.RunFactor
			if e.state == "run" {
				onCore++
			} else if e.state == "call" {
				calls++
			}
		}
		if !e.answered && b.now > max(e.due, e.at)+b.s.AnswerSlack && late < b.s.AnswerSlack {
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
	if b.s.Cold {
		share = min(1, 0.2+0.8*b.now.Seconds()/10)
	}
	if ceiling := float64(b.s.Cores) * (1 + (b.s.CrowdPerCore-1)*share); float64(onCore) > ceiling {
		b.fault("%d on the cores, %.1f survive", onCore, ceiling)
	}
	b.lingers = slices.DeleteFunc(b.lingers, func(end time.Duration) bool { return end <= b.now })
	b.hands = append(b.hands, float64(calls+len(b.lingers))*step.Seconds())
	spent := 0.0
	for _, x := range b.hands[max(0, len(b.hands)-int(b.s.CallsOver/step)):] {
		spent += x
	}
	if b.s.Below == control.BelowShared && spent > b.s.CallsShare*b.s.CallsOver.Seconds() {
		b.fault("%.2f call seconds in a window, the share is %.2f calls", spent, b.s.CallsShare)
	}
	if b.s.Below == control.BelowShared && float64(calls) > max(1, b.s.CallsShare) {
		b.fault("%d calls in hand of %.1f", calls, b.s.CallsShare)
	}
}

func TestFourRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := settings(t)
		c, err := control.New(s)
		if err != nil {
			t.Fatal(err)
		}
		b := &book{t: t, s: s, reqs: map[control.ID]*entry{}, arrived: map[uint64]time.Duration{},
			keepEnd: map[uint64]time.Duration{}, keepID: map[uint64]control.ID{}}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			if b.stop > 0 && b.now+40*time.Millisecond >= b.stop {
				break
			}
			dt := step
			if rapid.IntRange(0, 19).Draw(t, "stall") == 0 && b.stop == 0 {
				dt = 700 * time.Millisecond // the process stood still
			}
			b.now += dt
			events := []control.Event{control.Tick{Gauges: control.Gauges{Busy: rapid.Float64Range(0, 1).Draw(t, "busy"), Runnable: 1}}}
			for id := control.ID(1); id <= b.next; id++ {
				e := b.reqs[id]
				if e.state == "call" && b.now >= e.timeout {
					e.state, e.maybe = "atcall", true
					b.lingers = append(b.lingers, b.now+b.s.CallLinger)
					events = append(events, control.CallDone{ID: id, Outcome: control.OutcomeTimeout})
				} else if e.state != "over" && rapid.IntRange(0, 7).Draw(t, "happens") == 0 {
					if ev := b.happen(id, e); ev != nil {
						events = append(events, ev)
					}
				}
			}
			b.batch = map[uint64]control.ID{}
			for range rapid.IntRange(0, 5).Draw(t, "arrivals") {
				events = append(events, b.arrive())
			}
			if b.drainAt == 0 && rapid.IntRange(0, 99).Draw(t, "drain") == 0 {
				b.drainAt, b.stop = b.now, b.now+4*time.Second
				events = append(events, control.Drain{Stop: b.stop})
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
			{Aim: time.Second, Deadline: 4 * time.Second, Worth: 1, Window: time.Minute, Effect: control.Keyed},
			{Aim: time.Second, Deadline: 4 * time.Second, Worth: 2}}}
		c, _ := control.New(s)
		for i := range 300 {
			ev := []control.Event{control.Arrive{ID: control.ID(i + 1), Class: i % 2, HeldKB: 1, Key: uint64(i)}, control.Tick{}}
			if i > 20 {
				ev = append(ev, control.Done{ID: control.ID(i - 19)})
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
