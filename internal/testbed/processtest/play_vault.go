package processtest

import (
	"math/rand/v2"
	"time"

	"pewterline/internal/protocol/vault"
)

// The parameters of the vault's faults during a play.
const (
	playCallDuration = 2 * time.Millisecond
	vaultFaultOdds   = 10 // one in so many calls does not succeed
	maxVaultUpMS     = 500
	maxVaultDownMS   = 100
	vaultFaultStream = 2 // separates its random numbers from others of the same seed
)

// injectVaultFaults makes the vault reject, fail or time out some calls, and repeatedly closes or refuses its
// connections, until the play has stopped.
func (p *serverPlay) injectVaultFaults() {
	rng := rand.New(rand.NewPCG(p.script.Seed, vaultFaultStream))
	failures := []vault.Status{vault.NotNow, vault.Failed, vault.Overdue, vault.Pointless}
	p.vault.SetCallDuration(playCallDuration)
	p.vault.SetReplyStatus(func(*Call) vault.Status {
		if i := rand.IntN(vaultFaultOdds * len(failures)); i < len(failures) {
			return failures[i]
		}
		return vault.Yes
	})
	for !p.stopped.Load() {
		time.Sleep(time.Duration(rng.IntN(maxVaultUpMS)) * time.Millisecond)
		if rng.IntN(2) == 0 {
			p.vault.RejectConnections()
		}
		p.vault.CloseConnections()
		time.Sleep(time.Duration(rng.IntN(maxVaultDownMS)) * time.Millisecond)
		if err := p.vault.AcceptConnections(); err != nil {
			p.recorder.Eventf("vault: %v", err)
		}
	}
}

// finishRun reports to all worker pools that the caller of a request no longer awaits its reply. At most one of them
// has a run of the request.
func (p *serverPlay) finishRun(id string) {
	for _, process := range p.server.Processes() {
		process.Pool.FinishRun(id)
	}
}
