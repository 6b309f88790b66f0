package processtest

import (
	"math/rand/v2"
	"time"

	"pewterline/internal/protocol/vault"
)

// over tells all worker pools, which know it, that a request waits for no answer any more.
func (p *play) over(id string) {
	for _, q := range p.srv.processes() {
		q.Pool.FinishRun(id)
	}
}

// resultOf is the result of a request that was served.
func (p *play) resultOf(body string) string {
	result := "did " + body
	if p.opts.Calls {
		result += " got kept " + CallBody(1, body)
	}
	return result
}

// troubleVault has some calls turned away, fail or run out of time, and the vault's connections break or be refused now and then.
func (p *play) troubleVault() {
	defer p.wg.Done()
	rng := rand.New(rand.NewPCG(p.script.Seed, 2))
	odd := []vault.Status{vault.NotNow, vault.Failed, vault.Overdue, vault.Pointless}
	p.vault.Slow(2 * time.Millisecond)
	p.vault.AnswerWith(func(*Call) vault.Status {
		if i := rand.IntN(10 * len(odd)); i < len(odd) {
			return odd[i]
		}
		return vault.Yes
	})
	for !p.closing.Load() {
		time.Sleep(time.Duration(rng.IntN(500)) * time.Millisecond)
		if rng.IntN(2) == 0 {
			p.vault.RejectConnections()
		}
		p.vault.Break()
		time.Sleep(time.Duration(rng.IntN(100)) * time.Millisecond)
		if err := p.vault.AcceptConnections(); err != nil {
			p.log("vault: %v", err)
		}
	}
}

// judgeCalls looks for calls that were made again though the one before may have run.
func (p *play) judgeCalls() {
	if p.vault == nil {
		return
	}
	last := map[string]Call{}
	for _, c := range p.vault.Calls() {
		if before, again := last[c.ID]; again && before.Status != vault.NotNow && before.Status != vault.Pointless {
			p.broken("effect: the call of %s was made again after %q", c.ID, before.Status)
		}
		last[c.ID] = c
	}
	p.out.Calls = len(p.vault.Calls())
}
