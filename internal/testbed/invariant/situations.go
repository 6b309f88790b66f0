package invariant

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"pewterline/internal/microtime"
	"pewterline/internal/testbed/faultsearch"
)

const (
	// faultAftermath is how long after its end a fault still counts as at work.
	faultAftermath = 2 * microtime.Second
	// maxCountedIncarnation is from which incarnation on situations are no longer told apart by it.
	maxCountedIncarnation = 3
)

// FaultInjected says that a fault is at work on a server until a time. It matters for what Situations lists alone.
func (o *Observer) FaultInjected(kind, name string, until microtime.Time) {
	o.activeFaults = append(o.activeFaults, activeFault{kind, name, until})
	server := o.servers[name]
	if server == nil {
		return
	}
	owed, joined := 0, 0
	for _, request := range server.open {
		if !request.isOwed() {
			continue
		}
		owed++
		if request.idempotencyKey != "" && len(server.keys[request.idempotencyKey].attempts) > 1 {
			joined++
		}
	}
	o.noteSituation(server, fmt.Sprintf("at %s open%d run%d joined%d link%v drain%d life%d", kind,
		orderOfMagnitude(owed), orderOfMagnitude(server.running), orderOfMagnitude(joined), server.openLinks > 0,
		o.drainPhase(server), min(server.incarnation, maxCountedIncarnation)))
}

// orderOfMagnitude sorts counts into five groups: none, one, a few, some, many.
func orderOfMagnitude(count int) int {
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

// drainPhase is 0 before the drain notice, 1 while requests may still start after it, and 2 later.
func (o *Observer) drainPhase(server *serverState) int {
	switch {
	case server.drainSentAt == microtime.Never:
		return 0
	case o.world.Now() < server.drainSentAt+o.Limits.DrainGrace:
		return 1
	}
	return 2
}

// noteSituation notes a situation, alone and with each fault that is at work on the server.
func (o *Observer) noteSituation(server *serverState, what string) {
	o.SituationCounts[what]++
	now := o.world.Now()
	o.activeFaults = slices.DeleteFunc(o.activeFaults, func(f activeFault) bool { return f.until+faultAftermath < now })
	o.situations[situationOf(what)] = struct{}{}
	for _, fault := range o.activeFaults {
		if fault.server == server.name {
			o.situations[situationOf(what, fault.kind)] = struct{}{}
		}
	}
}

// situationOf is the fingerprint of a situation.
func situationOf(parts ...string) faultsearch.Situation {
	hash := xxhash.New()
	for _, part := range parts {
		_, _ = hash.WriteString(part) // a hash takes everything
		_, _ = hash.WriteString("|")
	}
	return faultsearch.Situation(hash.Sum64())
}

// Situations lists the situations so far, in order.
func (o *Observer) Situations() []faultsearch.Situation {
	list := make([]faultsearch.Situation, 0, len(o.situations))
	for situation := range o.situations {
		list = append(list, situation)
	}
	slices.Sort(list)
	return list
}
