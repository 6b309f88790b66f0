package control

const (
	// maxRestoredLimitPerCore bounds a restored concurrency limit, per core.
	maxRestoredLimitPerCore = 100
	// maxRestoredMean bounds a restored mean, in seconds or calls: no real mean comes near it.
	maxRestoredMean = 3600
)

// LearnedState holds the estimates of a Controller, so that its successor on the same machine need not learn them
// again. It holds no decisions. Times are in seconds.
type LearnedState struct {
	ConcurrencyLimit float64 // running requests
	PriorityShare    float64 // probability that a slot goes to the priority classes
	LoadSignal       float64 // last value of SetLoadSignal
	UsualSlowdown    MeanEstimate
	SlotTime         MeanEstimate // of a request of any class
	CallTime         MeanEstimate // of downstream calls
	Classes          []LearnedClassState
}

// MeanEstimate is a mean and the number of samples that it is based on.
type MeanEstimate struct{ Count, Value float64 }

// LearnedClassState holds the estimates of the class called Name.
type LearnedClassState struct {
	Name            string
	ServiceTime     MeanEstimate // from start to end of a run
	SlotTime        MeanEstimate // of a run on the cores or at the disk
	RejectedShare   MeanEstimate // share of the requests that were rejected under load
	CallsPerRequest MeanEstimate
}

// LearnedState returns the current estimates.
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

// RestoreLearned replaces the estimates by those of a predecessor on the same machine. The state comes from another
// process, so each estimate that is out of range is ignored.
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

// estimate returns the mean in the form of LearnedState.
func (m *runningMean) estimate() MeanEstimate { return MeanEstimate{Count: m.count, Value: m.value} }

// restore replaces the mean by a predecessor's, unless that is out of range or based on more than maxCount samples.
func (m *runningMean) restore(from MeanEstimate, maxCount float64) {
	if from.Count > 0 && from.Count <= maxCount && from.Value > 0 && from.Value < maxRestoredMean {
		m.count, m.value = from.Count, from.Value
	}
}
