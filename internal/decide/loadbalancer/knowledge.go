package loadbalancer

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"github.com/benbjohnson/immutable"

	"pewterline/internal/microtime"
)

// ObservationKind is what a fact is about.
type ObservationKind uint8

// The kinds of fact.
const (
	Unreachable    ObservationKind = iota + 1 // tries there came to nothing
	Reachable                                 // it answered
	TypicalLatency                            // Value: microseconds that a request takes there
	Recovered                                 // it came back: what is older is of a life that has ended
	kindsEnd
)

// halfLife is after how long a fact of each kind weighs half.
var halfLife = [kindsEnd]microtime.Time{Unreachable: 10 * microtime.Second, Reachable: 10 * microtime.Second, TypicalLatency: 20 * microtime.Second, Recovered: 120 * microtime.Second}

// Observation is what somebody has seen of a server. It goes from instance to instance with its age, never with a time:
// clocks disagree.
type Observation struct {
	Endpoint string
	Kind     ObservationKind
	Value    float64
	Evidence float64        // observations behind it
	Age      microtime.Time // since it was observed
	Source   string         // the instance that observed it
	Hops     int            // hands that it went through since
}

// GossipSender is who tells facts.
type GossipSender struct {
	Name   string
	Uptime microtime.Time // what it says cannot rest on more than it can have seen
}

// The bounds of what is taken from others.
const (
	MaxHops     = 4
	MaxAge      = 600 * microtime.Second
	maxEvidence = 20.0
	sourcesMost = 4 // of one kind of fact about one server
	nameMost    = 64
	// evidencePerSecond is what an instance can have learned of one server in a second of its life.
	evidencePerSecond = 1.0
	slowMost          = float64(60 * microtime.Second)
	together          = microtime.Second // within which two sights of a server are of the same time
	// What our own state is worth to others, at least.
	deadEvidence    = 8
	suspectEvidence = 4
)

// GossipTable is what others have told. It is a value: a copy is a snapshot that stays as it is, while the loop goes on
// with its own (the map below is persistent).
type GossipTable struct {
	keep  float64
	facts *immutable.SortedMap[factKey, held]
}

// factKey names a fact: each source has one of a kind about a server, so that what is told again and again by many
// hands stays one observation.
type factKey struct {
	server string
	kind   ObservationKind
	source string
}

type keyOrder struct{}

func (keyOrder) Compare(a, b factKey) int {
	return cmp.Or(cmp.Compare(a.server, b.server), cmp.Compare(a.kind, b.kind), cmp.Compare(a.source, b.source))
}

// held is a fact with the time, on our own clock, of its observation.
type held struct {
	fact Observation
	at   microtime.Time
}

// NewGossipTable returns an empty one; keep is the part of its weight that a fact keeps from hand to hand.
func NewGossipTable(keep float64) GossipTable {
	return GossipTable{keep: keep, facts: immutable.NewSortedMap[factKey, held](keyOrder{})}
}

// Len counts the facts.
func (k GossipTable) Len() int { return k.facts.Len() }

// ValidateObservation tells why a fact cannot be taken; nil if it can.
func ValidateObservation(f Observation) error {
	switch {
	case f.Endpoint == "" || len(f.Endpoint) > nameMost:
		return fmt.Errorf("fleet: fact: server: a name of %d bytes", len(f.Endpoint))
	case f.Source == "" || len(f.Source) > nameMost:
		return fmt.Errorf("fleet: fact: source: a name of %d bytes", len(f.Source))
	case f.Kind == 0 || f.Kind >= kindsEnd:
		return fmt.Errorf("fleet: fact: kind: unknown %d", f.Kind)
	case f.Age < 0 || f.Age > MaxAge:
		return fmt.Errorf("fleet: fact: age: %v is not within 0 to %v", f.Age.Duration(), MaxAge.Duration())
	case f.Hops < 0 || f.Hops > MaxHops:
		return fmt.Errorf("fleet: fact: hops: %d is not within 0 to %d", f.Hops, MaxHops)
	case !(f.Evidence > 0) || math.IsInf(f.Evidence, 0):
		return fmt.Errorf("fleet: fact: evidence: %v is not over 0", f.Evidence)
	case f.Kind == TypicalLatency && !(f.Value > 0 && f.Value <= slowMost):
		return fmt.Errorf("fleet: fact: value: %v is not within 0 to %v", f.Value, slowMost)
	}
	return nil
}

// weight is what a fact counts now: its evidence, halved with each half-life of its kind, and discounted by hearsay.
func (k GossipTable) weight(now microtime.Time, h held) float64 {
	return h.fact.Evidence * math.Exp2(-float64(now-h.at)/float64(halfLife[h.fact.Kind])) * math.Pow(k.keep, float64(h.fact.Hops))
}

// of lists the facts of a kind about a server.
func (k GossipTable) of(server string, kind ObservationKind) (out []held) {
	it := k.facts.Iterator()
	it.Seek(factKey{server: server, kind: kind})
	for !it.Done() {
		key, h, _ := it.Next()
		if key.server != server || key.kind != kind {
			break
		}
		out = append(out, h)
	}
	return out
}

// FailureWeight is the weight of what speaks against a server, less what has spoken for it since; never below 0.
func (k GossipTable) FailureWeight(now microtime.Time, server string) float64 {
	sum, last := 0.0, microtime.Time(-1)
	for _, h := range k.of(server, Unreachable) {
		sum += k.weight(now, h)
		last = max(last, h.at)
	}
	if sum == 0 {
		return 0
	}
	for _, h := range k.of(server, Reachable) {
		if h.at > last-together { // who heard it well before it died does not know better
			sum -= k.weight(now, h)
		}
	}
	return max(sum, 0)
}

// Latency is what requests are said to take at a server, in microseconds: the mean of the sources by their weight.
func (k GossipTable) Latency(now microtime.Time, server string) (float64, bool) {
	sum, weights := 0.0, 0.0
	for _, h := range k.of(server, TypicalLatency) {
		w := k.weight(now, h)
		sum += w * h.fact.Value
		weights += w
	}
	return sum / weights, weights > 0.05
}

// backAt is when a server last came back, as far as anybody has told; -1: never.
func (k GossipTable) backAt(server string) microtime.Time {
	at := microtime.Time(-1)
	for _, h := range k.of(server, Recovered) {
		at = max(at, h.at)
	}
	return at
}

// take adds a fact that has passed its checks, or leaves it where something newer is known. It returns the new
// knowledge.
func (k GossipTable) take(now microtime.Time, f Observation) (GossipTable, bool) {
	h := held{f, now - f.Age}
	// News about an earlier life of a server is none: what was seen before it came back has ended with that life.
	if f.Kind != Recovered && h.at < k.backAt(f.Endpoint) {
		return k, false
	}
	key := factKey{f.Endpoint, f.Kind, f.Source}
	if old, ok := k.facts.Get(key); ok && (old.at > h.at || old.at == h.at && old.fact.Hops <= f.Hops) {
		return k, false
	}
	k.facts = k.facts.Set(key, h)
	if f.Kind == Recovered {
		for _, kind := range []ObservationKind{Unreachable, Reachable, TypicalLatency} {
			for _, o := range k.of(f.Endpoint, kind) {
				if o.at < h.at {
					k.facts = k.facts.Delete(factKey{f.Endpoint, kind, o.fact.Source})
				}
			}
		}
	}
	// The lightest goes where a server has too many.
	if all := k.of(f.Endpoint, f.Kind); len(all) > sourcesMost {
		least := slices.MinFunc(all, func(a, b held) int { return cmp.Compare(k.weight(now, a), k.weight(now, b)) })
		k.facts = k.facts.Delete(factKey{f.Endpoint, f.Kind, least.fact.Source})
	}
	return k, true
}

// forget drops what about nothing can be told any more, and what is about a server that is not there.
func (k GossipTable) forget(now microtime.Time, known func(string) bool) GossipTable {
	for it := k.facts.Iterator(); !it.Done(); {
		key, h, _ := it.Next()
		if now-h.at > MaxAge || !known(key.server) || k.weight(now, h) < 0.001 && key.kind != Recovered {
			k.facts = k.facts.Delete(key)
		}
	}
	return k
}

// GossipResult is the outcome of Heed.
type GossipResult struct {
	Accepted int
	Stale    int // older than what is known, or of an earlier life
	Ignored  int // about servers that are not in our list, or our own words
	Invalid  int
	Err      error // the first fault
}

// ApplyGossip takes what another instance tells. Own observation goes before it everywhere: what is told counts only for
// servers that this instance has not tried itself. self is our own name, whose words come back to us.
func (f *Balancer) ApplyGossip(now microtime.Time, self string, from GossipSender, facts []Observation) (a GossipResult) {
	fault := func(err error) {
		a.Invalid++
		if a.Err == nil {
			a.Err = err
		}
	}
	if from.Uptime < 0 || from.Name == "" || len(from.Name) > nameMost {
		fault(fmt.Errorf("fleet: adviser: %q with an uptime of %v", from.Name, from.Uptime.Duration()))
		return a
	}
	// An adviser that has just started has seen little, whatever it says, and its hearsay rests on no more.
	most := min(maxEvidence, evidencePerSecond*from.Uptime.Duration().Seconds())
	for _, x := range facts {
		switch err := ValidateObservation(x); {
		case err != nil:
			fault(err)
			continue
		case x.Source == from.Name && (x.Hops != 1 || x.Age > from.Uptime):
			fault(fmt.Errorf("fleet: fact: %s tells of %v ago and is up for %v", from.Name, x.Age.Duration(), from.Uptime.Duration()))
			continue
		}
		m := f.byName[x.Endpoint]
		if m == nil || x.Source == self {
			a.Ignored++
			continue
		}
		// Our own sight of its return goes before older news.
		if x.Kind != Recovered && m.born >= 0 && now-x.Age < m.born {
			a.Stale++
			continue
		}
		if x.Evidence = min(x.Evidence, most); x.Evidence <= 0 {
			a.Stale++
			continue
		}
		next, ok := f.told.take(now, x)
		if !ok {
			a.Stale++
			continue
		}
		f.told = next
		a.Accepted++
		// Whoever told will find out when it is back; we look ourselves after a while, each instance at a time of its own.
		if x.Kind == Unreachable && m.state == Unobserved && m.probeAt <= now {
			m.probeAt = now + f.cfg.MaxProbeBackoff/2 + microtime.Time(f.rng.Int64N(int64(f.cfg.MaxProbeBackoff)))
		}
	}
	return a
}

// ComposeGossip is what this instance tells another: what it has seen itself, then what it was told, one hand further. The
// strongest facts come first where most bounds them.
func (f *Balancer) ComposeGossip(now microtime.Time, self string, most int) []Observation {
	var own []Observation
	for _, m := range f.members {
		add := func(kind ObservationKind, value, evidence float64, at microtime.Time) {
			if evidence > 0 && now-at <= MaxAge {
				own = append(own, Observation{Endpoint: m.name, Kind: kind, Value: value, Evidence: min(evidence, maxEvidence), Age: now - at, Source: self, Hops: 1})
			}
		}
		switch m.state {
		case Down:
			add(Unreachable, 0, max(deadEvidence, float64(m.failed)), m.failAt)
		case Suspect:
			add(Unreachable, 0, max(suspectEvidence, float64(m.failed)), m.failAt)
		case Up, Warming:
			add(Reachable, 0, float64(min(m.seen, 10)), m.heard)
		}
		if m.born >= 0 {
			add(Recovered, 0, 1, m.born)
		}
		var all latency
		for i := range m.lat {
			all.merge(m.lat[i])
		}
		if all.n >= 5 && m.heard > 0 {
			add(TypicalLatency, float64(all.quantile(0.5)), float64(min(all.n, 20))/2, m.heard)
		}
	}
	var others []held
	for it := f.told.facts.Iterator(); !it.Done(); {
		_, h, _ := it.Next()
		if h.fact.Hops < MaxHops && now-h.at <= MaxAge {
			others = append(others, h)
		}
	}
	slices.SortStableFunc(others, func(a, b held) int { return cmp.Compare(f.told.weight(now, b), f.told.weight(now, a)) })
	for _, h := range others {
		x := h.fact
		x.Age, x.Hops = now-h.at, x.Hops+1
		own = append(own, x)
	}
	return own[:min(len(own), most)]
}

// GossipSnapshot is a snapshot of what others have told.
func (f *Balancer) GossipSnapshot() GossipTable { return f.told }

// ExpireGossip forgets what has lost its weight; it is called now and then.
func (f *Balancer) ExpireGossip(now microtime.Time) {
	f.told = f.told.forget(now, func(server string) bool { return f.byName[server] != nil })
}
