package processtest

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"pewterline/internal/protocol/vault"
)

// retentionWindow is the retention window of idempotency keys in the settings of a play.
const retentionWindow = 13518 * time.Millisecond

// The log messages of a process that begins to serve, and of one that has applied its predecessor's messages.
const (
	servingLog            = "INFO serving"
	predecessorAppliedLog = "messages of the predecessor applied"
)

// expectedResult returns the result that a served request has to have.
func (p *serverPlay) expectedResult(body string) string {
	result := "did " + body
	if p.options.CallVault {
		result += " got kept " + CallBody(1, body)
	}
	return result
}

// checkResult checks that the result of a served request is the result of its run.
func (p *serverPlay) checkResult(body, result string) {
	if result != p.expectedResult(body) {
		p.recorder.Violationf("result: unexpected result of %s: %q", body, result)
	}
}

// checkRejection checks that a rejected request had not run before it was sent.
func (p *serverPlay) checkRejection(body string, sent time.Time) {
	runs := p.server.RunLog.runsBefore(body, sent)
	if len(runs) > 0 && p.inNewestIncarnation(runs) {
		p.recorder.Violationf("rejected: %s, although it had already run: %v", body, runs)
	}
}

// incarnations returns the number of the server's incarnation by worker pool, that is, by process. A process that has
// applied its predecessor's messages continues the predecessor's incarnation. With a store of record, all processes do.
func (p *serverPlay) incarnations() map[*Pool]int {
	byPool := map[*Pool]int{}
	incarnation := 0
	for _, process := range p.server.Processes() {
		log := process.Log()
		served := strings.Contains(log, servingLog)
		inherited := strings.Contains(log, predecessorAppliedLog)
		if incarnation == 0 || !p.script.Store && served && !inherited {
			incarnation++
		}
		byPool[process.Pool] = incarnation
	}
	return byPool
}

// inNewestIncarnation reports whether one of the runs belongs to the newest incarnation.
func (p *serverPlay) inNewestIncarnation(runs []RunRecord) bool {
	incarnations := p.incarnations()
	newest := 0
	for _, incarnation := range incarnations {
		newest = max(newest, incarnation)
	}
	return slices.ContainsFunc(runs, func(r RunRecord) bool { return incarnations[r.Pool] == newest })
}

// check checks the invariants that can be checked only at the end of the play.
func (p *serverPlay) check() {
	p.checkDuplicates()
	if p.vault != nil {
		p.checkCalls()
	}
}

// checkDuplicates checks that no request ran twice in one incarnation within its retention window. A process started
// without a predecessor begins a new incarnation: it may run requests again that an earlier incarnation has run.
func (p *serverPlay) checkDuplicates() {
	incarnations := p.incarnations()
	for body, runs := range p.server.RunLog.all() {
		for i, first := range runs {
			for _, second := range runs[i+1:] {
				after := second.StartedAt.Sub(first.StartedAt)
				if incarnations[first.Pool] == incarnations[second.Pool] && after < retentionWindow {
					p.recorder.Violationf("duplicate: %s ran as %s and %v later as %s, in incarnation %d",
						body, first.ID, after, second.ID, incarnations[first.Pool])
				}
			}
		}
	}
}

// checkCalls checks that no downstream call was made again unless the previous one has certainly not run.
func (p *serverPlay) checkCalls() {
	calls := p.vault.Calls()
	last := map[string]Call{}
	for _, call := range calls {
		before, again := last[call.ID]
		if again && before.Status != vault.NotNow && before.Status != vault.Pointless {
			p.recorder.Violationf("effect: the call of %s was made again after status %q", call.ID, before.Status)
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
