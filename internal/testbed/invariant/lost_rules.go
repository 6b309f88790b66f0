package invariant

import (
	"cmp"
	"slices"

	"pewterline/internal/microtime"
)

// dueAt returns when an answer is due: at the request's deadline, but not before the request was read.
func (o *Observer) dueAt(request *requestState) microtime.Time {
	return max(request.requestedAt+microtime.FromDuration(o.classOf(request).Deadline), request.arrivedAt)
}

// answerLimit returns the latest time for an answer, with grace periods and the time for which the server was paused.
func (o *Observer) answerLimit(server *serverState, request *requestState) microtime.Time {
	return o.dueAt(request) + o.Limits.AnswerGrace + socketGrace + o.pausedSince(server, request.arrivedAt)
}

// checkAnsweredInTime checks that an answer is written in time.
func (o *Observer) checkAnsweredInTime(server *serverState, request *requestState, now microtime.Time) {
	if limit := o.answerLimit(server, request); now > limit && !request.cancelled {
		o.report(ruleLost, server, request, "answered late: request %s, by %v", request.id, (now - limit).Duration())
	}
}

// scheduleAnswerCheck schedules a request for checkOverdue at the time when its answer is due. The queue is searched
// from its end, as most requests are due later than those before them.
func (o *Observer) scheduleAnswerCheck(request *requestState) {
	limit := o.dueAt(request) + o.Limits.AnswerGrace + socketGrace
	index := len(o.dueAnswers)
	for index > 0 && o.dueAnswers[index-1].at > limit {
		index--
	}
	o.dueAnswers = slices.Insert(o.dueAnswers, index, dueAnswer{limit, request})
}

// checkOverdue checks that every request whose answer is due by now has been answered.
func (o *Observer) checkOverdue(now microtime.Time) {
	for len(o.dueAnswers) > 0 && o.dueAnswers[0].at < now {
		due := o.dueAnswers[0]
		request := due.request
		o.dueAnswers = o.dueAnswers[1:]
		if !request.awaitsAnswer() || request.server.stopped {
			continue
		}
		if limit := o.answerLimit(request.server, request); limit > due.at || request.server.pausedAt(now) {
			o.rescheduleAnswerCheck(request, max(limit, now+1))
			continue
		}
		o.report(ruleLost, request.server, request, "unanswered: request %s is past its deadline", request.id)
		request.settled = true
	}
}

// rescheduleAnswerCheck schedules a request for checkOverdue again at a later time, before other requests due at that
// time.
func (o *Observer) rescheduleAnswerCheck(request *requestState, until microtime.Time) {
	index, _ := slices.BinarySearchFunc(o.dueAnswers, until, func(due dueAnswer, at microtime.Time) int {
		return cmp.Compare(due.at, at)
	})
	o.dueAnswers = slices.Insert(o.dueAnswers, index, dueAnswer{until, request})
}

// checkConnClosed checks that a server closes no connection on which a request is open, unless the request may have
// crossed the close.
func (o *Observer) checkConnClosed(conn *connState) {
	for _, request := range conn.server.open {
		if request.conn != conn || !request.awaitsAnswer() {
			continue
		}
		if o.clock.Now()-request.arrivedAt > crossingGrace+o.pausedSince(conn.server, request.arrivedAt) {
			o.report(ruleLost, conn.server, request, "closed by the server: request %s was open on the connection", request.id)
		}
		request.settled = true
	}
}
