package faultsearch

import (
	"slices"

	"pewterline/internal/microtime"
	"pewterline/internal/testbed/faults"
)

const (
	// maxMutations bounds the changes to a script at once.
	maxMutations = 5
	// maxAddedFaults is how many faults more a changed script may have than the one it comes from.
	maxAddedFaults = 12
	// maxFaults bounds the faults of a changed script.
	maxFaults = 60
)

// mutation is a script that is being changed.
type mutation struct {
	*CoverageGuided
	script    faults.Script
	maxFaults int
}

// mutate returns a script near another. It is valid if that one is.
func (g *CoverageGuided) mutate(from faults.Script) faults.Script {
	m := mutation{
		CoverageGuided: g,
		script:         from.Clone(),
		maxFaults:      min(len(from.Faults)+maxAddedFaults, maxFaults),
	}
	for range 1 + g.rng.IntN(maxMutations) {
		m.step()
	}
	m.script.SortFaults()
	return m.script
}

// step makes one random change.
func (m *mutation) step() {
	count := len(m.script.Faults)
	pick := 0
	if count > 0 {
		pick = m.rng.IntN(count)
	}
	hasRoom := count < m.maxFaults
	switch choice := m.rng.IntN(10); {
	case choice == 0: // other traffic
		m.script.Seed = m.rng.Uint64()
	case count == 0 || choice <= 2 && hasRoom:
		m.script.Faults = append(m.script.Faults, m.script.RandomFault(m.rng))
	case choice == 3 && hasRoom: // one more of a kind that is there, at another node
		m.script.Faults = append(m.script.Faults, m.script.RandomFaultOf(m.rng, m.script.Faults[pick].Kind))
	case choice == 4:
		m.script.Faults = slices.Delete(m.script.Faults, pick, pick+1)
	case choice == 5:
		m.moveNextTo(pick)
	case choice == 6:
		m.moveToSamePlace(pick)
	case choice == 7:
		m.shift(pick)
	case choice == 8: // longer, shorter, more, less
		fresh := m.script.RandomFaultOf(m.rng, m.script.Faults[pick].Kind)
		m.script.Faults[pick].For, m.script.Faults[pick].Amount = fresh.For, fresh.Amount
	default:
		m.copyFault(hasRoom)
	}
}

// randomFault returns one of the script's faults.
func (m *mutation) randomFault() faults.Fault {
	return m.script.Faults[m.rng.IntN(len(m.script.Faults))]
}

// moveNextTo moves a fault to nearly the same time as another.
func (m *mutation) moveNextTo(pick int) {
	other := m.randomFault()
	within := other.For + 100*microtime.Millisecond
	m.script.Faults[pick].At = m.clamp(other.At + m.randomTime(within))
}

// moveToSamePlace moves a fault to the nodes of another, soon after it.
func (m *mutation) moveToSamePlace(pick int) {
	other := m.randomFault()
	fault := m.script.Faults[pick]
	fault.Node, fault.Peer = other.Node, other.Peer
	fault.At = m.clamp(other.At + m.randomTime(500*microtime.Millisecond))
	if m.script.Allows(fault) {
		m.script.Faults[pick] = fault
	}
}

// shift moves a fault by up to a second.
func (m *mutation) shift(pick int) {
	at := m.script.Faults[pick].At
	m.script.Faults[pick].At = m.clamp(at + m.randomTime(2*microtime.Second) - microtime.Second)
}

// copyFault adds a fault of another script of the corpus.
func (m *mutation) copyFault(hasRoom bool) {
	other := m.corpus[m.rng.IntN(len(m.corpus))].script
	if len(other.Faults) == 0 || !hasRoom {
		return
	}
	if fault := other.Faults[m.rng.IntN(len(other.Faults))]; m.script.Allows(fault) {
		m.script.Faults = append(m.script.Faults, fault)
	}
}

func (m *mutation) randomTime(below microtime.Time) microtime.Time {
	return microtime.Time(m.rng.Int64N(int64(below)))
}

// clamp keeps a time within the run.
func (m *mutation) clamp(t microtime.Time) microtime.Time { return min(max(t, 0), m.script.Length) }
