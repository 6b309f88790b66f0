package control

const (
	// maxRestoredLimitPerCore bounds a restored concurrency limit for each core.
	maxRestoredLimitPerCore = 100
	// maxRestoredMean bounds a restored mean: no time and no count of a request comes near it.
	maxRestoredMean = 3600
)

// LearnedState is what a Controller has learned of its machine and its classes, so that a successor on the same machine
// need not learn it anew. It holds no decisions. Times are in seconds.
type LearnedState struct {
	ConcurrencyLimit, PriorityShare, LoadSignal float64 // of running requests; of the lanes; the free value
	UsualSlowdown, SlotTime                     MeanEstimate
	CallTime                                    MeanEstimate // of calls below
	Classes                                     []LearnedClassState
}

// MeanEstimate is a mean and the completions behind it.
type MeanEstimate struct{ Count, Value float64 }

// LearnedClassState is what is known of the class of that name.
type LearnedClassState struct {
	Name                                 string
	ServiceTime, SlotTime, RejectedShare MeanEstimate
	CallsPerRequest                      MeanEstimate // of a request
}

// LearnedState returns what has been learned.
func (c *Controller) LearnedState() LearnedState {
	learned := LearnedState{
		ConcurrencyLimit: c.limiter.limit,
		PriorityShare:    c.lanes.priorityShare,
		LoadSignal:       c.signal.value,
		UsualSlowdown:    c.slowdown.usual.estimate(),
		SlotTime:         c.slowdown.slotSeconds.estimate(),
		CallTime:         c.calls.meanCallSeconds.estimate(),
	}
	for _, class := range c.classes.all {
		learned.Classes = append(learned.Classes, LearnedClassState{
			Name:            class.Name,
			ServiceTime:     class.service.estimate(),
			SlotTime:        class.slot.estimate(),
			RejectedShare:   class.rejectedShare.estimate(),
			CallsPerRequest: class.callsPerRequest.estimate(),
		})
	}
	return learned
}

// RestoreLearned takes up what a predecessor on the same machine has learned. Figures that make no sense are skipped
// one by one, as they come from another process.
func (c *Controller) RestoreLearned(learned LearnedState) {
	cores := float64(c.settings.Cores)
	limit := learned.ConcurrencyLimit
	if limit >= minLimitPerCore*cores && limit <= maxRestoredLimitPerCore*cores {
		c.limiter.limit = limit
	}
	if learned.PriorityShare >= minPriorityShare && learned.PriorityShare <= maxPriorityShare {
		c.lanes.priorityShare = learned.PriorityShare
	}
	if learned.LoadSignal >= 0 && learned.LoadSignal <= c.signal.maxValue(c.limiter.limit) {
		c.signal.value = learned.LoadSignal
	}
	c.slowdown.usual.restore(learned.UsualSlowdown, usualSlowdownSamples)
	c.slowdown.slotSeconds.restore(learned.SlotTime, sampleWindow)
	c.calls.meanCallSeconds.restore(learned.CallTime, sampleWindow)
	for _, from := range learned.Classes {
		for _, class := range c.classes.all {
			if class.Name == from.Name {
				class.service.restore(from.ServiceTime, sampleWindow)
				class.slot.restore(from.SlotTime, sampleWindow)
				class.rejectedShare.restore(from.RejectedShare, sampleWindow)
				class.callsPerRequest.restore(from.CallsPerRequest, sampleWindow)
			}
		}
	}
}

// estimate returns the mean for a LearnedState.
func (m *runningMean) estimate() MeanEstimate { return MeanEstimate{Count: m.count, Value: m.value} }

// restore takes up a predecessor's mean of at most maxCount samples, if it makes sense.
func (m *runningMean) restore(from MeanEstimate, maxCount float64) {
	if from.Count > 0 && from.Count <= maxCount && from.Value > 0 && from.Value < maxRestoredMean {
		m.count, m.value = from.Count, from.Value
	}
}
