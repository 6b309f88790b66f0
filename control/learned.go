package control

// LearnedState is what a Controller has found out about its machine and its classes: what a successor on the same machine
// need not find out anew. It holds no decisions. Times are in seconds.
type LearnedState struct {
	Limit, Alpha, Said float64 // of running requests; of the lanes; the free value
	Usual, SlotTime    MeanEstimate
	CallTime           MeanEstimate // of calls below
	Classes            []LearnedClassState
}

// MeanEstimate is a mean and the completions behind it.
type MeanEstimate struct{ N, V float64 }

// LearnedClassState is what is known of the class of that name.
type LearnedClassState struct {
	Name                string
	Service, Slot, Away MeanEstimate
	Calls               MeanEstimate // of a request
}

// LearnedState tells what has been found out.
func (c *Controller) LearnedState() LearnedState {
	l := LearnedState{Limit: c.limit, Alpha: c.alpha, Said: c.said, Usual: MeanEstimate{c.usual.n, c.usual.v}, SlotTime: MeanEstimate{c.slotTime.n, c.slotTime.v},
		CallTime: MeanEstimate{c.callTime.n, c.callTime.v}}
	for _, k := range c.classes {
		l.Classes = append(l.Classes, LearnedClassState{k.Name, MeanEstimate{k.service.n, k.service.v}, MeanEstimate{k.slot.n, k.slot.v}, MeanEstimate{k.away.n, k.away.v},
			MeanEstimate{k.calls.n, k.calls.v}})
	}
	return l
}

// RestoreLearned takes up what a predecessor on the same machine has found out. Figures that make no sense are passed over: they come
// from another process.
func (c *Controller) RestoreLearned(l LearnedState) {
	take := func(m *mean, from MeanEstimate, most float64) {
		if from.N > 0 && from.N <= most && from.V > 0 && from.V < 3600 {
			m.n, m.v = from.N, from.V
		}
	}
	cores := float64(c.s.Cores)
	if l.Limit >= limitMin*cores && l.Limit <= 100*cores {
		c.limit = l.Limit
	}
	if l.Alpha >= alphaMin && l.Alpha <= alphaMax {
		c.alpha = l.Alpha
	}
	if most := c.mostSaid(); l.Said >= 0 && l.Said <= most {
		c.said = l.Said
	}
	take(&c.usual, l.Usual, usualRuns)
	take(&c.slotTime, l.SlotTime, window)
	take(&c.callTime, l.CallTime, window)
	for _, from := range l.Classes {
		for _, k := range c.classes {
			if k.Name == from.Name {
				take(&k.service, from.Service, window)
				take(&k.slot, from.Slot, window)
				take(&k.away, from.Away, window)
				take(&k.calls, from.Calls, window)
			}
		}
	}
}

// mostSaid is the highest free value that makes sense.
func (c *Controller) mostSaid() float64 {
	if c.s.LoadSignal == LoadSignalAllowance {
		return allowMost * c.limit
	}
	return 1
}
