package processtest

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"pewterline/internal/protocol/vault"
)

// retentionWindow is how long the settings that are played keep an idempotency key.
const retentionWindow = 13518 * time.Millisecond

// What a process logs once it serves, and once its predecessor has told it what is known.
const (
	servingLog   = "INFO serving"
	inheritedLog = "messages of the predecessor applied"
)

// expectedResult returns the result of a request that was served.
func (p *serverPlay) expectedResult(body string) string {
	result := "did " + body
	if p.options.Calls {
		result += " got kept " + CallBody(1, body)
	}
	return result
}

// checkResult checks that what was served is what was run.
func (p *serverPlay) checkResult(body, result string) {
	if result != p.expectedResult(body) {
		p.recorder.Violatedf("result: %s was answered %q", body, result)
	}
}

// checkRejection checks that a request that was rejected had not run when it was sent.
func (p *serverPlay) checkRejection(body string, sent time.Time) {
	runs := p.server.RunLog.runsBefore(body, sent)
	if len(runs) > 0 && p.inNewestIncarnation(runs) {
		p.recorder.Violatedf("rejected: %s, though it had run by then: %v", body, runs)
	}
}

// incarnations numbers the incarnations of the server, by the worker pools of its processes: a process that was told by
// its predecessor goes on with that one's incarnation, and with a store of record each does.
func (p *serverPlay) incarnations() map[*Pool]int {
	byPool := map[*Pool]int{}
	incarnation := 0
	for _, process := range p.server.Processes() {
		log := process.Log()
		served := strings.Contains(log, servingLog)
		inherited := strings.Contains(log, inheritedLog)
		if incarnation == 0 || !p.script.Store && served && !inherited {
			incarnation++
		}
		byPool[process.Pool] = incarnation
	}
	return byPool
}

// inNewestIncarnation reports whether one of the runs was in the incarnation of the newest process.
func (p *serverPlay) inNewestIncarnation(runs []RunRecord) bool {
	incarnations := p.incarnations()
	newest := 0
	for _, incarnation := range incarnations {
		newest = max(newest, incarnation)
	}
	return slices.ContainsFunc(runs, func(r RunRecord) bool { return incarnations[r.Pool] == newest })
}

// check looks for violations that show once the play is over.
func (p *serverPlay) check() {
	p.checkDuplicates()
	if p.vault != nil {
		p.checkCalls()
	}
}

// checkDuplicates looks for requests that ran twice in one incarnation within their retention window. A process that
// was started with nobody to tell it begins a new incarnation: it may run again what the one before had run.
func (p *serverPlay) checkDuplicates() {
	incarnations := p.incarnations()
	for body, runs := range p.server.RunLog.all() {
		for i, first := range runs {
			for _, second := range runs[i+1:] {
				after := second.Began.Sub(first.Began)
				if incarnations[first.Pool] == incarnations[second.Pool] && after < retentionWindow {
					p.recorder.Violatedf("duplicate: %s ran as %s and %v later as %s, in incarnation %d",
						body, first.ID, after, second.ID, incarnations[first.Pool])
				}
			}
		}
	}
}

// checkCalls looks for calls that were made again though the one before may have run.
func (p *serverPlay) checkCalls() {
	calls := p.vault.Calls()
	last := map[string]Call{}
	for _, call := range calls {
		before, again := last[call.ID]
		if again && before.Status != vault.NotNow && before.Status != vault.Pointless {
			p.recorder.Violatedf("effect: the call of %s was made again after %q", call.ID, before.Status)
		}
		last[call.ID] = call
	}
	p.recorder.Update(func(o *Outcome) { o.Calls = len(calls) })
}

// logLines returns the logs of all processes.
func (p *serverPlay) logLines() (lines []string) {
	for i, process := range p.server.Processes() {
		for line := range strings.Lines(process.Log()) {
			lines = append(lines, fmt.Sprintf("    process %d: %s", i, strings.TrimSpace(line)))
		}
	}
	return lines
}
