package control

// memoryHighWater is the share of memory in use above which no key is retained and no request is started.
const memoryHighWater = 0.95

// memoryBudget tracks the memory of queued and running requests. The retained keys are counted by retainedKeys.
type memoryBudget struct {
	totalKB       float64 // 0 = not limited
	keyKB         float64 // memory of a retained key
	runningFactor float64 // memory of a running request over that of a queued one
	cores         int

	queuedKB, runningKB float64
}

// configure applies the settings.
func (m *memoryBudget) configure(settings *Settings) {
	m.totalKB = settings.MemoryKB
	m.keyKB = settings.KeyKB
	m.runningFactor = settings.RunningMemoryFactor
	m.cores = settings.Cores
}

// requestQueued adds the memory of a request that needs queuedKB while it is queued.
func (m *memoryBudget) requestQueued(queuedKB float64) { m.queuedKB += queuedKB }

// requestStarted moves a request from the queued memory to the running memory.
func (m *memoryBudget) requestStarted(queuedKB float64) {
	m.queuedKB -= queuedKB
	m.runningKB += queuedKB * m.runningFactor
}

// queuedEnded frees the memory of a request that ended without a run.
func (m *memoryBudget) queuedEnded(queuedKB float64) { m.queuedKB -= queuedKB }

// runningEnded frees the memory of a request that ran.
func (m *memoryBudget) runningEnded(queuedKB float64) { m.runningKB -= queuedKB * m.runningFactor }

// usedShare returns the share of memory in use with the given number of retained keys and extraKB in addition.
func (m *memoryBudget) usedShare(keys int, extraKB float64) float64 {
	if m.totalKB <= 0 {
		return 0
	}
	return (m.queuedKB + m.runningKB + float64(keys)*m.keyKB + extraKB) / m.totalKB
}

// fitsRun reports whether there is memory to start a queued request.
func (m *memoryBudget) fitsRun(keys int, queuedKB float64) bool {
	return m.usedShare(keys, queuedKB*(m.runningFactor-1)) <= memoryHighWater
}

// fitsKey reports whether there is memory to retain the key of a request. Keys are retained for far longer than their
// requests are open, so they must leave enough memory to run one request like this one per core.
func (m *memoryBudget) fitsKey(keys int, queuedKB float64) bool {
	if m.totalKB <= 0 {
		return true
	}
	overHighWater := m.usedShare(keys, m.keyKB) > memoryHighWater
	keyLimitKB := memoryHighWater*m.totalKB - float64(m.cores)*queuedKB*m.runningFactor
	overKeyLimit := float64(keys+1)*m.keyKB > keyLimitKB
	return !overHighWater && !overKeyLimit
}
