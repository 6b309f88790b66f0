package control

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// This file builds a Controller from its settings, and anew when they change. It decides nothing about requests.

// New checks the settings and returns a Controller at its start.
func New(s Settings) (*Controller, error) {
	if err := s.validate(); err != nil {
		return nil, err
	}
	c := &Controller{
		rng: rand.New(rand.NewPCG(s.Seed, 0)), live: map[RequestID]*request{}, keys: map[RequestID]*entry{},
		alpha: alphaMax, limit: float64(s.Cores), climbDir: 1, pace: 1, okayPace: 1, busy: -1,
		heard: map[uint32]time.Duration{}, open: map[uint32]int{},
	}
	if s.LoadSignal == LoadSignalWeight {
		c.said = 1
	}
	c.settle(s)
	for _, k := range c.classes {
		c.slotTime.add(k.slot.v)
	}
	return c, nil
}

// Reconfigure takes up other settings while serving; an error says that nothing has changed. Classes and tenants keep their
// numbers: a class that is gone is retired, one whose number has gone over to another name is over. What was learned of a
// class is kept under its name, and what is open stays as it was read. The seed and the cold start are those of New.
func (c *Controller) Reconfigure(s Settings) error {
	if err := s.validate(); err != nil {
		return err
	}
	if len(s.Classes) < len(c.classes) || len(s.Tenants) < len(c.tokens) {
		return fmt.Errorf("%w: %d classes or %d tenants are fewer than before", ErrInvalidSettings, len(s.Classes), len(s.Tenants))
	}
	s.Seed, s.ColdStart = c.s.Seed, c.s.ColdStart
	c.settle(s)
	return nil
}

// settle builds what depends on the settings and keeps what is there.
func (c *Controller) settle(s Settings) {
	c.s = s
	c.s.CallConcurrencyWindow = max(s.CallConcurrencyWindow, time.Second)
	if s.Dependency != DependencyShared || s.CallConcurrencyShare <= 0 {
		c.share, c.callStock = math.Inf(1), math.Inf(1)
	} else if c.share != s.CallConcurrencyShare {
		c.share, c.callStock = s.CallConcurrencyShare, 0
	}
	if n := 2 + int(math.Ceil(math.Log2(math.Max(1, float64(s.MaxKeepAlive)/float64(keepMin))))); n != len(c.gaps) {
		c.gaps = make([]float64, n)
	}
	for len(c.tokens) < len(s.Tenants) {
		c.tokens = append(c.tokens, 0)
	}
	ranks := func(a, b Class) int { return cmp.Compare(a.Weight, b.Weight) }
	low, high := slices.MinFunc(s.activeClasses(), ranks).Weight, slices.MaxFunc(s.activeClasses(), ranks).Weight
	before := c.classes
	c.classes, c.current = nil, nil
	for i, k := range s.Classes {
		guess := mean{priorRuns, k.LatencyObjective.Seconds() * priorShare}
		to := &class{cv: 1, service: guess, slot: guess, calls: mean{priorRuns, 1}, away: mean{fitPrior, 0}, budget: k.LatencyObjective}
		if i < len(before) && before[i].Name == k.Name {
			to = before[i]
		} else if j := slices.IndexFunc(before, func(b *class) bool { return b.Name == k.Name }); j >= 0 {
			was := before[j]
			to.lat, to.service, to.slot, to.hint, to.calls, to.away = slices.Clone(was.lat), was.service, was.slot, was.hint, was.calls, was.away
			to.cv, to.u = was.cv, was.u
		}
		// A fair chance to be in time is worth more than the best effort in its place. Where all classes tie there is no
		// lowest: none is best effort.
		to.Class, to.spread, to.best = k, map[bool]float64{false: spread, true: dearSpread}[k.Weight > low], k.Weight == low && low < high
		if c.classes = append(c.classes, to); !k.Retired {
			c.current = append(c.current, to)
		}
	}
}
