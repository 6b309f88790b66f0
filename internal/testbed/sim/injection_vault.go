package sim

import "pewterline/internal/testbed/fakes"

// This file injects the faults of the vault. All servers call the same vault, so that the observer records each fault
// for every server.

// vaultNode is the name of the vault's node.
const vaultNode = "v0"

// vaultInjector returns an injector of a vault fault that occurs with the probability given by the fault's amount.
func vaultInjector(fault fakes.VaultFault) func(*simulation, injection) {
	return func(s *simulation, f injection) { s.impairVault(fault, f.Amount, f) }
}

// impairVault injects a vault fault that occurs with a probability until the end of the injection.
func (s *simulation) impairVault(fault fakes.VaultFault, probability float64, f injection) {
	s.recordVaultFault(f)
	s.vault.InjectFault(fault, probability, f.until)
}

// recordVaultFault informs the observer that the fault affects all servers.
func (s *simulation) recordVaultFault(f injection) {
	for _, server := range s.servers {
		s.observer.FaultInjected(string(f.Kind), server.name, f.until)
	}
}

func (s *simulation) stopVault(f injection) {
	s.recordVaultFault(f)
	s.vault.Down(f.until)
}

func (s *simulation) slowVault(f injection) {
	s.recordVaultFault(f)
	s.vault.Slow(f.Amount)
	s.clock.At(f.until, func() { s.vault.Slow(1) })
}

func (s *simulation) failCalls(f injection) {
	fault := fakes.VaultFails
	if f.What == "overdue" {
		fault = fakes.VaultOverruns
	}
	s.impairVault(fault, f.Amount, f)
}

func (s *simulation) reorderReplies(f injection) { s.impairVault(fakes.VaultShuffles, 1, f) }

func (s *simulation) silenceVault(f injection) { s.impairVault(fakes.VaultSilent, 1, f) }

func (s *simulation) hangVault(f injection) {
	s.recordVaultFault(f)
	for _, server := range s.servers {
		path := s.net.Path(server.name, vaultNode)
		path.LostUntil = max(path.LostUntil, f.until)
	}
}
