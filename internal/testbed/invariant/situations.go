package invariant

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"pewterline/internal/microtime"
	"pewterline/internal/testbed/faultsearch"
)

const (
	// faultEffectTime is how long a fault still counts as active after its end.
	faultEffectTime = 2 * microtime.Second
	// maxCountedIncarnation caps the incarnation number in situation names; later incarnations share one name.
	maxCountedIncarnation = 3
)

// FaultInjected reports that a fault affects a server until a time. It influences only the result of Situations.
func (o *Observer) FaultInjected(kind, name string, until microtime.Time) {
	o.activeFaults = append(o.activeFaults, activeFault{kind, name, until})
	server := o.servers[name]
	if server == nil {
		return
	}
	owed, joined := 0, 0
	for _, request := range server.open {
		if !request.awaitsAnswer() {
			continue
		}
		owed++
		if request.idempotencyKey != "" && len(server.keys[request.idempotencyKey].attempts) > 1 {
			joined++
		}
	}
	o.noteSituation(server, fmt.Sprintf("at %s open%d run%d joined%d link%v drain%d life%d", kind,
		countGroup(owed), countGroup(server.running), countGroup(joined), server.openPoolConns > 0,
		o.drainPhase(server), min(server.incarnation, maxCountedIncarnation)))
}

// countGroup maps a count to one of five groups: 0, 1, 2 to 7, 8 to 39, and 40 or more.
func countGroup(count int) int {
	switch {
	case count < 2:
		return count
	case count < 8:
		return 2
	case count < 40:
		return 3
	}
	return 4
}

// drainPhase returns 0 before the drain notice, 1 while requests may still start after it, and 2 later.
func (o *Observer) drainPhase(server *serverState) int {
	switch {
	case server.drainSentAt == microtime.Never:
		return 0
	case o.clock.Now() < server.drainSentAt+o.Limits.DrainGrace:
		return 1
	}
	return 2
}

// noteSituation records a situation, alone and in combination with each fault active on the server.
func (o *Observer) noteSituation(server *serverState, situation string) {
	o.SituationCounts[situation]++
	now := o.clock.Now()
	o.activeFaults = slices.DeleteFunc(o.activeFaults, func(f activeFault) bool { return f.until+faultEffectTime < now })
	o.situations[situationOf(situation)] = struct{}{}
	for _, fault := range o.activeFaults {
		if fault.server == server.name {
			o.situations[situationOf(situation, fault.kind)] = struct{}{}
		}
	}
}

// situationOf returns the fingerprint of a situation.
func situationOf(parts ...string) faultsearch.Situation {
	hash := xxhash.New()
	for _, part := range parts {
		_, _ = hash.WriteString(part) // writing to a hash never fails
		_, _ = hash.WriteString("|")
	}
	return faultsearch.Situation(hash.Sum64())
}

// Situations returns the fingerprints of all situations so far, sorted.
func (o *Observer) Situations() []faultsearch.Situation {
	list := make([]faultsearch.Situation, 0, len(o.situations))
	for situation := range o.situations {
		list = append(list, situation)
	}
	slices.Sort(list)
	return list
}
