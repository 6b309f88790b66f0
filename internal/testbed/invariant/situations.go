package invariant

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"pewterline/internal/microtime"
	"pewterline/internal/testbed/faultsearch"
)

// FaultInjected says that something goes wrong with a server until a time: only for what Reached tells.
func (o *Observer) FaultInjected(kind, name string, until microtime.Time) {
	o.faulty = append(o.faulty, fault{kind, name, until})
	s := o.servers[name]
	if s == nil {
		return
	}
	open, joined := 0, 0
	for _, r := range s.open {
		if o.owed(r) {
			open++
			if r.once != "" && len(s.keys[r.once].tries) > 1 {
				joined++
			}
		}
	}
	o.reach(s, fmt.Sprintf("at %s open%d run%d joined%d link%v drain%d life%d", kind, size(open), size(s.running), size(joined), s.links > 0,
		o.drainPhase(s), min(s.life, 3)))
}

// size is a count's order of magnitude.
func size(n int) int {
	switch {
	case n < 2:
		return n
	case n < 8:
		return 2
	case n < 40:
		return 3
	}
	return 4
}

func (o *Observer) drainPhase(s *server) int {
	switch now := o.w.Now(); {
	case s.noticed == microtime.Never:
		return 0
	case now < s.noticed+o.Limits.DrainGrace:
		return 1
	}
	return 2
}

// reach notes a situation, alone and with each fault that is at work on the server.
func (o *Observer) reach(s *server, what string) {
	o.SituationCounts[what]++
	now := o.w.Now()
	o.faulty = slices.DeleteFunc(o.faulty, func(f fault) bool { return f.until+2*microtime.Second < now })
	add := func(parts ...string) {
		h := xxhash.New()
		for _, p := range parts {
			_, _ = h.WriteString(p)
			_, _ = h.WriteString("|")
		}
		o.reached[faultsearch.Situation(h.Sum64())] = struct{}{}
	}
	add(what)
	for _, f := range o.faulty {
		if f.server == s.name {
			add(what, f.kind)
		}
	}
}

// Situations lists the situations so far, in order.
func (o *Observer) Situations() []faultsearch.Situation {
	out := make([]faultsearch.Situation, 0, len(o.reached))
	for x := range o.reached {
		out = append(out, x)
	}
	slices.Sort(out)
	return out
}
