package invariant

import (
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"pewterline/control"
	"pewterline/internal/testbed/simnet"
)

// requestReceived records an attempt that has completely reached the server's machine; header returns the fields of its
// envelope by name. It returns nil for an invalid or repeated request, and once the server is no longer checked.
func (o *Observer) requestReceived(conn *connState, header func(string) string, body []byte) *requestState {
	server := conn.server
	class, known := o.classIndex[header("class")]
	atMilli, atErr := strconv.ParseInt(header("at"), 10, 64)
	sizeKB, sizeErr := strconv.ParseFloat(header("kb"), 64)
	if !known || atErr != nil || sizeErr != nil || server.requests[header("id")] != nil || server.stopped {
		return nil
	}
	request := &requestState{
		server:      server,
		conn:        conn,
		id:          header("id"),
		class:       class,
		requestedAt: o.wall.FromUnixMilli(atMilli),
		arrivedAt:   o.clock.Now(),
		sizeKB:      sizeKB,
		bodyHash:    xxhash.Sum64(body),
	}
	settings := o.classOf(request)
	if settings.Idempotency == control.IdempotentByKey {
		request.idempotencyKey = header("tenant") + "/" + header("once")
		o.noteAttempt(request)
	}
	server.requests[request.id] = request
	if o.OnRequest != nil && conn.fromEdge() {
		o.OnRequest(request.id, server.name, settings.Name, body)
	}
	server.open = append(server.open, request)
	o.note(request, "%s read, asked at %v, due at %v", settings.Name,
		(request.requestedAt - simnet.Start).Duration(), (o.dueAt(request) - simnet.Start).Duration())
	o.scheduleAnswerCheck(request)
	return request
}

// noteAttempt records a request under its idempotency key.
func (o *Observer) noteAttempt(request *requestState) {
	server := request.server
	state := server.keys[request.idempotencyKey]
	if state == nil {
		state = &keyState{}
		server.keys[request.idempotencyKey] = state
	}
	if count := len(state.attempts); count > 0 {
		last := state.attempts[count-1]
		if last.conn.kind != request.conn.kind {
			o.noteSituation(server, "repeat by the other front")
		}
		o.noteSituation(server, fmt.Sprintf("repeat running%v runs%d answered%v gaveup%v left%v", last.running,
			countGroup(len(state.runs)), last.answers > 0, last.cancelled, last.conn.callerLeft))
	}
	state.attempts = append(state.attempts, request)
}

// requestCancelled records that a caller's cancellation of an unanswered request has reached the server.
func (o *Observer) requestCancelled(request *requestState) {
	if request.cancelled {
		return
	}
	server := request.server
	request.cancelled = true
	o.noteEndKnown(request)
	o.notifyRequestEnded(request)
	o.note(request, "given up")
	o.noteSituation(server, fmt.Sprintf("give-up running%v keyed%v", request.running, request.idempotencyKey != ""))
	if own := server.runs[request.id]; own != nil && own.ended {
		o.noteSituation(server, "give-up between the run's end and the answer")
	}
}

// requestAnswered checks and records a final answer.
func (o *Observer) requestAnswered(request *requestState, kind string, result []byte) {
	server := request.server
	request.answers++
	o.noteEndKnown(request)
	o.notifyRequestEnded(request)
	o.Answers[kind]++
	o.note(request, "%s", kind)
	if request.answers > 1 {
		o.report(ruleDuplicate, server, request, "answered twice: request %s", request.id)
		return
	}
	request.answerKind = kind
	if request.cancelled {
		o.noteSituation(server, "answer after give-up "+kind)
	}
	o.checkAnsweredInTime(server, request, o.clock.Now())
	o.noteSituation(server, fmt.Sprintf("%s running%v class%d drain%d",
		kind, request.running, request.class, o.drainPhase(server)))
	switch kind {
	case answerRejected:
		o.checkRejection(server, request)
	case answerServed:
		o.requestServed(server, request, result)
	}
}

// requestServed checks a result and, with a store of record, remembers that its run is recorded.
func (o *Observer) requestServed(server *serverState, request *requestState, result []byte) {
	o.checkResult(server, request, result)
	if own := server.runs[request.id]; o.Example == nil && own != nil && len(own.callPoints) > 0 {
		o.Example = o.history(server, request)
	}
	if state := server.keys[request.idempotencyKey]; o.Limits.Store && state != nil && len(state.runs) > 0 {
		o.recordedRuns[recordKey(server, request)] = state.runs[len(state.runs)-1]
	}
}

// noteEndKnown records that the server has learned that a request has ended.
func (o *Observer) noteEndKnown(request *requestState) {
	if request.endKnownAt == 0 {
		request.endKnownAt = o.clock.Now()
	}
}

// notifyRequestEnded reports the end of a request that an edge forwarded, for the worker pools behind the edge.
func (o *Observer) notifyRequestEnded(request *requestState) {
	if o.OnRequestEnded != nil && request.conn.fromEdge() {
		o.OnRequestEnded(request.id)
	}
}
