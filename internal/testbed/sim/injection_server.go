package sim

// This file injects the faults of servers, of their worker pools and of their stores of record.

func (s *simulation) killServer(f injection) {
	if f.Amount < 1 {
		f.server.kill(false, f.For)
		return
	}
	if !f.server.host.Ended {
		f.server.downtime = f.For
		f.server.host.KillIn(int(f.Amount), func() { f.server.processEnded(false, false) })
	}
}

func (s *simulation) loseMachine(f injection) { f.server.kill(true, f.For) }

func (s *simulation) terminateServer(f injection) { f.server.terminate(f.For) }

func (s *simulation) reloadServer(f injection) { f.server.reload() }

// pauseServer does not pause a draining server, as a pause would not extend its shutdown timeout.
func (s *simulation) pauseServer(f injection) {
	if f.server.host.Ended || f.server.draining {
		return
	}
	f.server.host.Pause(f.until)
	s.observer.ServerPaused(f.server.name, f.until)
}

func (s *simulation) slowPool(f injection) {
	pool := f.server.pool
	pool.Slow(f.Amount)
	s.clock.At(f.until, func() { pool.Slow(1) })
}

func (s *simulation) slowClass(f injection) {
	pool := f.server.pool
	pool.SlowClass(f.What, f.Amount)
	s.clock.At(f.until, func() { pool.SlowClass(f.What, 1) })
}

func (s *simulation) duplicateNotices(f injection) { f.server.pool.DuplicateNotices(f.until) }

func (s *simulation) slowStore(f injection) {
	if f.server.store != nil {
		f.server.store.Slow(f.milliseconds(), f.until)
	}
}

func (s *simulation) failStore(f injection) {
	if f.server.store != nil {
		f.server.store.Fail(f.until)
	}
}
