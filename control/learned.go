package control

// Learned is what a Controller has found out about its machine and its classes: what a successor on the same machine
// need not find out anew. It holds no decisions. Times are in seconds.
type Learned struct {
	Limit, Alpha, Said float64 // of running requests; of the lanes; the free value
	Usual, SlotTime    Mean
	CallTime           Mean // of calls below
	Classes            []LearnedClass
}

// Mean is a mean and the completions behind it.
type Mean struct{ N, V float64 }

// LearnedClass is what is known of the class of that name.
type LearnedClass struct {
	Name                string
	Service, Slot, Away Mean
	Calls               Mean // of a request
}

// Learned tells what has been found out.
func (c *Controller) Learned() Learned {
	l := Learned{Limit: c.limit, Alpha: c.alpha, Said: c.said, Usual: Mean{c.usual.n, c.usual.v}, SlotTime: Mean{c.slotTime.n, c.slotTime.v},
		CallTime: Mean{c.callTime.n, c.callTime.v}}
	for _, k := range c.classes {
		l.Classes = append(l.Classes, LearnedClass{k.Name, Mean{k.service.n, k.service.v}, Mean{k.slot.n, k.slot.v}, Mean{k.away.n, k.away.v},
			Mean{k.calls.n, k.calls.v}})
	}
	return l
}

// Learn takes up what a predecessor on the same machine has found out. Figures that make no sense are passed over: they come
// from another process.
func (c *Controller) Learn(l Learned) {
	take := func(m *mean, from Mean, most float64) {
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
	if c.s.Signal == SignalAllowance {
		return allowMost * c.limit
	}
	return 1
}
