package faultsearch

import (
	"slices"

	"pewterline/internal/microtime"
	"pewterline/internal/testbed/faults"
)

const (
	// maxMutations is the maximum number of changes to a script in one mutation.
	maxMutations = 5
	// maxAddedFaults is how many more faults a mutated script may have than its original.
	maxAddedFaults = 12
	// maxFaults is the maximum number of faults of a mutated script.
	maxFaults = 60
)

// mutation is a script while it is being mutated.
type mutation struct {
	*CoverageGuided
	script    faults.Script
	maxFaults int
}

// mutate returns a mutated copy of a script. The copy is valid if the original is.
func (g *CoverageGuided) mutate(original faults.Script) faults.Script {
	m := mutation{
		CoverageGuided: g,
		script:         original.Clone(),
		maxFaults:      min(len(original.Faults)+maxAddedFaults, maxFaults),
	}
	for range 1 + g.rng.IntN(maxMutations) {
		m.step()
	}
	m.script.SortFaults()
	return m.script
}

// step applies one random change.
func (m *mutation) step() {
	count := len(m.script.Faults)
	index := 0
	if count > 0 {
		index = m.rng.IntN(count)
	}
	canAdd := count < m.maxFaults
	switch choice := m.rng.IntN(10); {
	case choice == 0: // different traffic
		m.script.Seed = m.rng.Uint64()
	case count == 0 || choice <= 2 && canAdd:
		m.script.Faults = append(m.script.Faults, m.script.RandomFault(m.rng))
	case choice == 3 && canAdd: // another fault of an existing kind, with new random nodes and values
		m.script.Faults = append(m.script.Faults, m.script.RandomFaultOf(m.rng, m.script.Faults[index].Kind))
	case choice == 4:
		m.script.Faults = slices.Delete(m.script.Faults, index, index+1)
	case choice == 5:
		m.moveToSameTime(index)
	case choice == 6:
		m.moveToSameNodes(index)
	case choice == 7:
		m.shift(index)
	case choice == 8: // another duration and amount
		redrawn := m.script.RandomFaultOf(m.rng, m.script.Faults[index].Kind)
		m.script.Faults[index].For, m.script.Faults[index].Amount = redrawn.For, redrawn.Amount
	default:
		m.copyFault(canAdd)
	}
}

// randomFault returns one of the script's faults.
func (m *mutation) randomFault() faults.Fault {
	return m.script.Faults[m.rng.IntN(len(m.script.Faults))]
}

// moveToSameTime moves a fault to a random time during another fault or up to 100 ms after its end.
func (m *mutation) moveToSameTime(index int) {
	other := m.randomFault()
	maxDelay := other.For + 100*microtime.Millisecond
	m.script.Faults[index].At = m.clamp(other.At + m.randomTime(maxDelay))
}

// moveToSameNodes moves a fault to the nodes of another fault, to a time soon after it.
func (m *mutation) moveToSameNodes(index int) {
	other := m.randomFault()
	fault := m.script.Faults[index]
	fault.Node, fault.Peer = other.Node, other.Peer
	fault.At = m.clamp(other.At + m.randomTime(500*microtime.Millisecond))
	if m.script.Allows(fault) {
		m.script.Faults[index] = fault
	}
}

// shift moves a fault by up to a second, earlier or later.
func (m *mutation) shift(index int) {
	at := m.script.Faults[index].At
	m.script.Faults[index].At = m.clamp(at + m.randomTime(2*microtime.Second) - microtime.Second)
}

// copyFault adds a fault from a script of the corpus.
func (m *mutation) copyFault(canAdd bool) {
	other := m.corpus[m.rng.IntN(len(m.corpus))].script
	if len(other.Faults) == 0 || !canAdd {
		return
	}
	if fault := other.Faults[m.rng.IntN(len(other.Faults))]; m.script.Allows(fault) {
		m.script.Faults = append(m.script.Faults, fault)
	}
}

func (m *mutation) randomTime(limit microtime.Time) microtime.Time {
	return microtime.Time(m.rng.Int64N(int64(limit)))
}

// clamp limits a time to the length of the run.
func (m *mutation) clamp(at microtime.Time) microtime.Time { return min(max(at, 0), m.script.Length) }
