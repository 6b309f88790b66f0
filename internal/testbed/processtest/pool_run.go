package processtest

import (
	"fmt"
	"time"

	"pewterline/internal/protocol/pool"
)

// reportedRunMS is the run duration that the worker pool reports to the server, in milliseconds.
const reportedRunMS = 1

// poolRun is a run in progress.
type poolRun struct {
	id        string
	body      string
	result    string
	callsMade int
	callsLeft int
	held      bool // suspended until Release
	blocked   bool // awaits the reply to a call
}

// CallBody returns the body of a downstream call that the run of a request makes. Calls are numbered from 1.
func CallBody(call int, requestBody string) string {
	return fmt.Sprintf("call %d of %s", call, requestBody)
}

// spawn begins a run, unless it is in progress already.
func (p *Pool) spawn(command pool.Command) {
	body := string(command.Body)
	p.runLog.record(body, command.ID, p)
	select {
	case p.started <- body:
	default: // The buffer is full: no test awaits so many events.
	}
	if p.runs[command.ID] != nil {
		return
	}
	run := &poolRun{id: command.ID, body: body, result: "did " + body, callsLeft: p.callsPerRun[command.Class]}
	if p.runLog.ResultsIncludeRunID {
		run.result += " as " + command.ID
	}
	p.runs[command.ID] = run
	run.held = p.holdsRuns
	if !run.held {
		p.advance(run)
	}
}

// advance makes the next downstream call of a run, or ends the run if none is left.
func (p *Pool) advance(run *poolRun) {
	run.held = false
	run.blocked = false
	switch {
	case run.callsLeft > 0 && p.finishEarly[run.id]:
		p.end(run, pool.Killed)
	case run.callsLeft > 0:
		run.callsLeft--
		run.callsMade++
		run.blocked = true
		call := CallBody(run.callsMade, run.body)
		p.notify(pool.AppendBlocked(nil, p.nextNotice(), run.id, []byte(call)))
	case p.runDuration > 0:
		// The run owns this goroutine, which ends after the run's time in a slot.
		go p.endLater(run, p.slots, p.runDuration)
	default:
		p.end(run, pool.Pass)
	}
}

// endLater ends a run after it has occupied a slot for a duration.
func (p *Pool) endLater(run *poolRun, slots chan struct{}, duration time.Duration) {
	slots <- struct{}{}
	time.Sleep(duration)
	<-slots
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.runs[run.id] == run {
		p.end(run, pool.Pass)
	}
}

func (p *Pool) end(run *poolRun, outcome pool.Outcome) {
	delete(p.runs, run.id)
	result := ""
	if outcome == pool.Pass {
		result = run.result
	}
	p.notify(pool.AppendFinished(nil, p.nextNotice(), run.id, outcome, reportedRunMS, []byte(result)))
}

// supply passes a run the reply to its call.
func (p *Pool) supply(command pool.Command) {
	run := p.runs[command.ID]
	if run == nil || !run.blocked {
		p.unexpectedReplies = append(p.unexpectedReplies, command.ID)
		sendTo(p.boundConn, fmt.Appendf(nil, "unknown supply %s\r\n", command.ID))
		return
	}
	run.result += " got " + string(command.Body)
	p.advance(run)
}

func (p *Pool) nextNotice() uint64 { return uint64(len(p.notices)) + 1 }

// notify sends a notice, and keeps it so that a later connection can receive it again.
func (p *Pool) notify(notice []byte) {
	p.notices = append(p.notices, notice)
	if p.boundConn != nil {
		sendTo(p.boundConn, notice)
	}
}
