package sim

import (
	"pewterline/internal/microtime"
	"pewterline/internal/testbed/fakes"
	"pewterline/internal/testbed/faults"
)

// injection is a fault at the time of its injection, with the nodes that it affects.
type injection struct {
	faults.Fault
	until  microtime.Time // the end of the fault
	server *instance      // the instance of Node; nil if Node is neither an instance nor a worker pool
	caller *fakes.Caller  // the caller of Node; nil if Node is no caller
}

// injectors maps each kind of fault to the method that injects it. A valid script has no other kinds.
var injectors = map[faults.Kind]func(*simulation, injection){
	faults.Kill:             (*simulation).killServer,
	faults.MachineLost:      (*simulation).loseMachine,
	faults.Terminate:        (*simulation).terminateServer,
	faults.ReloadConfig:     (*simulation).reloadServer,
	faults.Pause:            (*simulation).pauseServer,
	faults.SlowPool:         (*simulation).slowPool,
	faults.CostlyClass:      (*simulation).slowClass,
	faults.DuplicateNotices: (*simulation).duplicateNotices,
	faults.StoreSlow:        (*simulation).slowStore,
	faults.StoreFail:        (*simulation).failStore,

	faults.StallPath:               (*simulation).stallPath,
	faults.Blackhole:               (*simulation).blackholePath,
	faults.AddLatency:              (*simulation).addLatency,
	faults.LimitBandwidth:          (*simulation).limitBandwidth,
	faults.DropDatagrams:           (*simulation).dropDatagrams,
	faults.DuplicateDatagrams:      (*simulation).duplicateDatagrams,
	faults.CutConnection:           (*simulation).cutConnections,
	faults.HalfClose:               (*simulation).halfCloseConnections,
	faults.ConnectionLimit:         (*simulation).limitConnections,
	faults.UnidentifiedConnections: (*simulation).connectUnidentified,

	faults.TrafficSurge:        (*simulation).surgeTraffic,
	faults.CallerCrash:         (*simulation).crashCaller,
	faults.StaleEndpoints:      (*simulation).freezeEndpointList,
	faults.ImpatientCaller:     (*simulation).cancelEarly,
	faults.LateCancel:          (*simulation).cancelLate,
	faults.CallerStopsReading:  (*simulation).stopReading,
	faults.ImmediateRetry:      (*simulation).retryAtOnce,
	faults.OverlappingAttempts: (*simulation).overlapAttempts,
	faults.RegistryDown:        (*simulation).stopRegistry,

	faults.VaultDown:       (*simulation).stopVault,
	faults.VaultSlow:       (*simulation).slowVault,
	faults.VaultRefusing:   vaultInjector(fakes.VaultRefuses),
	faults.VaultFailing:    (*simulation).failCalls,
	faults.VaultBreakReply: vaultInjector(fakes.VaultBreaks),
	faults.VaultReorder:    (*simulation).reorderReplies,
	faults.VaultStrayReply: vaultInjector(fakes.VaultStrays),
	faults.VaultSilent:     (*simulation).silenceVault,
	faults.VaultHang:       (*simulation).hangVault,
}

// inject injects one fault. Faults of a process have no effect if that process has ended.
func (s *simulation) inject(fault faults.Fault) {
	s.logf("%s", fault)
	until := s.clock.Now() + fault.For
	for _, node := range []string{fault.Node, fault.Peer} {
		if server := s.instance(node); server != nil {
			s.observer.FaultInjected(string(fault.Kind), server.name, until)
			break
		}
	}
	injectors[fault.Kind](s, injection{
		Fault:  fault,
		until:  until,
		server: s.instance(fault.Node),
		caller: s.callers[fault.Node],
	})
}

// milliseconds returns the amount of the fault, in milliseconds, as a time.
func (f injection) milliseconds() microtime.Time { return microtime.Time(f.Amount * 1000) }
