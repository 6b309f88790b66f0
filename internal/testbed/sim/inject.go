package sim

import (
	"runtime/debug"
	"slices"

	"pewterline/internal/microtime"
	"pewterline/internal/testbed/fakes"
	"pewterline/internal/testbed/faults"
	"pewterline/internal/testbed/simnet"
)

func stack() string { return string(debug.Stack()) }

// happen has one fault happen. What is gone already has none.
func (l *world) happen(f faults.Fault) {
	l.log("%s", f)
	now := l.w.Now()
	until := now + f.For
	for _, name := range []string{f.Node, f.Peer} {
		if s := l.server(name); s != nil {
			l.obs.FaultInjected(string(f.Kind), s.name, until)
			break
		}
	}
	s, c := l.server(f.Node), l.callers[f.Node]
	switch f.Kind {
	case faults.Kill:
		if f.Amount < 1 {
			s.kill(false, f.For)
		} else if !s.host.Ended {
			s.back = f.For
			s.host.KillIn(int(f.Amount), func() { s.gone(false, false) })
		}
	case faults.MachineLost:
		s.kill(true, f.For)
	case faults.Terminate:
		s.term(f.For)
	case faults.ReloadConfig:
		s.hup()
	case faults.Pause:
		if !s.host.Ended && !s.leaving { // the time to leave is not stretched by a pause
			s.host.Pause(until)
			l.obs.ServerPaused(s.name, until)
		}
	case faults.SlowPool:
		p := s.pool
		p.Slow(f.Amount)
		l.w.At(until, func() { p.Slow(1) })
	case faults.CostlyClass:
		p := s.pool
		p.SlowClass(f.What, f.Amount)
		l.w.At(until, func() { p.SlowClass(f.What, 1) })
	case faults.DuplicateNotices:
		s.pool.DuplicateNotices(until)
	case faults.StallPath, faults.Blackhole, faults.AddLatency, faults.LimitBandwidth, faults.DropDatagrams, faults.DuplicateDatagrams:
		l.spoil(l.net.Path(f.Node, f.Peer), f, until)
	case faults.CutConnection:
		for _, e := range slices.Clone(l.net.Node(f.Node).Streams()) {
			if e.IsOpen() && e.Peer() == f.Peer {
				e.CutAfter(int(f.Amount))
			}
		}
	case faults.HalfClose:
		for _, e := range slices.Clone(l.net.Node(f.Node).Streams()) {
			if e.IsOpen() && e.Peer() == f.Peer {
				e.CutWrite()
			}
		}
	case faults.TrafficSurge:
		l.st.TrafficFactor[f.What] = f.Amount
		l.w.At(until, func() { l.st.TrafficFactor[f.What] = 1 })
	case faults.CallerCrash:
		c.Crash(until)
	case faults.StaleEndpoints:
		c.FreezeEndpoints(until)
	case faults.ImpatientCaller:
		c.CancelAfter(microtime.Time(f.Amount*1000), until)
	case faults.LateCancel:
		c.CancelLate(until)
	case faults.CallerStopsReading:
		c.StopReading(until)
	case faults.ImmediateRetry:
		c.RetryAtOnce(until)
	case faults.ConnectionLimit:
		n := l.net.Node(f.Node)
		n.SetMaxConnections(int(f.Amount))
		l.w.At(until, func() { n.SetMaxConnections(1 << 30) })
	case faults.UnidentifiedConnections:
		l.st.ConnectUnidentified(f.Node, int(f.Amount), l.w.Rand())
	case faults.RegistryDown:
		l.st.Registry.SetDown(until)
	case faults.StoreSlow:
		if s.store != nil {
			s.store.Slow(microtime.Time(f.Amount*1000), until)
		}
	case faults.StoreFail:
		if s.store != nil {
			s.store.Fail(until)
		}
	default:
		l.vaultFault(f, until)
	}
}

// vaultFault has the vault go wrong until a time.
func (l *world) vaultFault(f faults.Fault, until microtime.Time) {
	for _, s := range l.servers {
		l.obs.FaultInjected(string(f.Kind), s.name, until)
	}
	switch f.Kind {
	case faults.VaultDown:
		l.vault.Down(until)
	case faults.VaultSlow:
		l.vault.Slow(f.Amount)
		l.w.At(until, func() { l.vault.Slow(1) })
	case faults.VaultRefusing:
		l.vault.Fault(fakes.VaultRefuses, f.Amount, until)
	case faults.VaultFailing:
		kind := fakes.VaultFails
		if f.What == "overdue" {
			kind = fakes.VaultOverruns
		}
		l.vault.Fault(kind, f.Amount, until)
	case faults.VaultBreakReply:
		l.vault.Fault(fakes.VaultBreaks, f.Amount, until)
	case faults.VaultReorder:
		l.vault.Fault(fakes.VaultShuffles, 1, until)
	case faults.VaultStrayReply:
		l.vault.Fault(fakes.VaultStrays, f.Amount, until)
	case faults.VaultSilent:
		l.vault.Fault(fakes.VaultSilent, 1, until)
	case faults.VaultHang:
		for _, s := range l.servers {
			path := l.net.Path(s.name, "v0")
			path.LostUntil = max(path.LostUntil, until)
		}
	}
}

// spoil makes a path worse until a time.
func (l *world) spoil(p *simnet.Path, f faults.Fault, until microtime.Time) {
	was := l.net.Default
	switch f.Kind {
	case faults.StallPath:
		p.StalledUntil = max(p.StalledUntil, until)
	case faults.Blackhole:
		p.LostUntil = max(p.LostUntil, until)
	case faults.AddLatency:
		p.Latency = was.Latency + microtime.Time(f.Amount*1000)
		l.w.At(until, func() { p.Latency = was.Latency })
	case faults.LimitBandwidth:
		p.Bandwidth = int(f.Amount)
		l.w.At(until, func() { p.Bandwidth = was.Bandwidth })
	case faults.DropDatagrams:
		p.Loss = f.Amount
		l.w.At(until, func() { p.Loss = was.Loss })
	case faults.DuplicateDatagrams:
		p.Duplicate = f.Amount
		l.w.At(until, func() { p.Duplicate = was.Duplicate })
	}
}
