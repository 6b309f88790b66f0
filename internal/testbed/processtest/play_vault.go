package processtest

import (
	"math/rand/v2"
	"time"

	"pewterline/internal/protocol/vault"
)

// The faults of the vault during a play.
const (
	playCallDuration = 2 * time.Millisecond
	vaultFaultOdds   = 10 // a call in so many ends otherwise than well
	maxVaultUpMS     = 500
	maxVaultDownMS   = 100
	vaultFaultStream = 2 // tells its random numbers from others of the same seed
)

// disturbVault has some calls be rejected, fail or run out of time, and the vault's connections break or be refused now
// and then, until the play has stopped.
func (p *serverPlay) disturbVault() {
	rng := rand.New(rand.NewPCG(p.script.Seed, vaultFaultStream))
	failures := []vault.Status{vault.NotNow, vault.Failed, vault.Overdue, vault.Pointless}
	p.vault.Slow(playCallDuration)
	p.vault.AnswerWith(func(*Call) vault.Status {
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
		p.vault.Break()
		time.Sleep(time.Duration(rng.IntN(maxVaultDownMS)) * time.Millisecond)
		if err := p.vault.AcceptConnections(); err != nil {
			p.recorder.Eventf("vault: %v", err)
		}
	}
}

// finishRun tells all worker pools, one of which knows it, that a request waits for no answer any more.
func (p *serverPlay) finishRun(id string) {
	for _, process := range p.server.Processes() {
		process.Pool.FinishRun(id)
	}
}
