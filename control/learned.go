package control

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

// LearnedState tells what has been found out.
func (c *Controller) LearnedState() LearnedState {
	l := LearnedState{ConcurrencyLimit: c.concurrencyLimit, PriorityShare: c.priorityShare,
		LoadSignal: c.loadSignalValue, UsualSlowdown: MeanEstimate{c.usualSlowdown.count, c.usualSlowdown.value},
		SlotTime: MeanEstimate{c.slotTime.count, c.slotTime.value},
		CallTime: MeanEstimate{c.callTime.count, c.callTime.value}}
	for _, k := range c.classes {
		l.Classes = append(l.Classes, LearnedClassState{k.Name, MeanEstimate{k.service.count, k.service.value},
			MeanEstimate{k.slot.count, k.slot.value}, MeanEstimate{k.rejectedShare.count, k.rejectedShare.value},
			MeanEstimate{k.callsPerRequest.count, k.callsPerRequest.value}})
	}
	return l
}

// RestoreLearned takes up what a predecessor on the same machine has learned. Figures that make no sense are skipped one
// by one, as they come from another process.
func (c *Controller) RestoreLearned(l LearnedState) {
	take := func(m *runningMean, from MeanEstimate, most float64) {
		if from.Count > 0 && from.Count <= most && from.Value > 0 && from.Value < 3600 {
			m.count, m.value = from.Count, from.Value
		}
	}
	cores := float64(c.settings.Cores)
	if l.ConcurrencyLimit >= minLimitPerCore*cores && l.ConcurrencyLimit <= 100*cores {
		c.concurrencyLimit = l.ConcurrencyLimit
	}
	if l.PriorityShare >= minPriorityShare && l.PriorityShare <= maxPriorityShare {
		c.priorityShare = l.PriorityShare
	}
	if most := c.maxLoadSignal(); l.LoadSignal >= 0 && l.LoadSignal <= most {
		c.loadSignalValue = l.LoadSignal
	}
	take(&c.usualSlowdown, l.UsualSlowdown, usualSlowdownSamples)
	take(&c.slotTime, l.SlotTime, sampleWindow)
	take(&c.callTime, l.CallTime, sampleWindow)
	for _, from := range l.Classes {
		for _, k := range c.classes {
			if k.Name == from.Name {
				take(&k.service, from.ServiceTime, sampleWindow)
				take(&k.slot, from.SlotTime, sampleWindow)
				take(&k.rejectedShare, from.RejectedShare, sampleWindow)
				take(&k.callsPerRequest, from.CallsPerRequest, sampleWindow)
			}
		}
	}
}

// maxLoadSignal is the highest free value that makes sense.
func (c *Controller) maxLoadSignal() float64 {
	if c.settings.LoadSignal == LoadSignalAllowance {
		return maxAllowancePerSlot * c.concurrencyLimit
	}
	return 1
}
