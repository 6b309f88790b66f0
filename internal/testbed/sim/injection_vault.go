package sim

import "pewterline/internal/testbed/fakes"

// This file has the faults of the vault. All servers call the one vault, and each is told to the observer.

// vaultNode is the node of the vault.
const vaultNode = "v0"

// vaultFault returns an injector that has something go wrong with the chance that the fault's amount gives.
func vaultFault(fault fakes.VaultFault) func(*simulation, injection) {
	return func(s *simulation, f injection) { s.impairVault(fault, f.Amount, f) }
}

// impairVault has something go wrong at the vault with a chance until the fault's end.
func (s *simulation) impairVault(fault fakes.VaultFault, chance float64, f injection) {
	s.noteVaultFault(f)
	s.vault.InjectFault(fault, chance, f.until)
}

// noteVaultFault tells the observer that all servers are affected.
func (s *simulation) noteVaultFault(f injection) {
	for _, server := range s.servers {
		s.observer.FaultInjected(string(f.Kind), server.name, f.until)
	}
}

func (s *simulation) stopVault(f injection) {
	s.noteVaultFault(f)
	s.vault.Down(f.until)
}

func (s *simulation) slowVault(f injection) {
	s.noteVaultFault(f)
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
	s.noteVaultFault(f)
	for _, server := range s.servers {
		path := s.net.Path(server.name, vaultNode)
		path.LostUntil = max(path.LostUntil, f.until)
	}
}
