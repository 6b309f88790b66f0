package sim

// This file injects the faults of callers and of the registry, which provides their endpoint lists.

func (s *simulation) surgeTraffic(f injection) {
	s.environment.TrafficFactor[f.What] = f.Amount
	s.clock.At(f.until, func() { s.environment.TrafficFactor[f.What] = 1 })
}

func (s *simulation) crashCaller(f injection) { f.caller.Crash(f.until) }

func (s *simulation) freezeEndpointList(f injection) { f.caller.FreezeEndpoints(f.until) }

func (s *simulation) cancelEarly(f injection) { f.caller.CancelAfter(f.milliseconds(), f.until) }

func (s *simulation) cancelLate(f injection) { f.caller.CancelLate(f.until) }

func (s *simulation) stopReading(f injection) { f.caller.StopReading(f.until) }

func (s *simulation) retryAtOnce(f injection) { f.caller.RetryAtOnce(f.until) }

func (s *simulation) overlapAttempts(f injection) {
	f.caller.OverlapAttempts(f.milliseconds(), f.until)
}

func (s *simulation) stopRegistry(f injection) { s.environment.Registry.SetDown(f.until) }
