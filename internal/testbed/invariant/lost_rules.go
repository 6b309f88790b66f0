package invariant

import (
	"cmp"
	"slices"

	"pewterline/internal/microtime"
)

// dueAt is when an answer must have come: never earlier than the request was read.
func (o *Observer) dueAt(request *requestState) microtime.Time {
	return max(request.requestedAt+microtime.FromDuration(o.classOf(request).Deadline), request.arrivedAt)
}

// answerLimit is when a request must have been answered, what its server stood still for not counted.
func (o *Observer) answerLimit(server *serverState, request *requestState) microtime.Time {
	return o.dueAt(request) + o.Limits.AnswerGrace + socketGrace + o.pausedSince(server, request.arrivedAt)
}

// judgeAnsweredInTime judges that an answer comes in time.
func (o *Observer) judgeAnsweredInTime(server *serverState, request *requestState, now microtime.Time) {
	if limit := o.answerLimit(server, request); now > limit && !request.cancelled {
		o.report(ruleLost, server, request, "answered late: request %s, by %v", request.id, (now - limit).Duration())
	}
}

// expectAnswer has judgeOverdue look at a request when its answer is due. The queue is searched from its end, as most
// requests are due later than those before them.
func (o *Observer) expectAnswer(request *requestState) {
	limit := o.dueAt(request) + o.Limits.AnswerGrace + socketGrace
	index := len(o.dueAnswers)
	for index > 0 && o.dueAnswers[index-1].at > limit {
		index--
	}
	o.dueAnswers = slices.Insert(o.dueAnswers, index, dueAnswer{limit, request})
}

// judgeOverdue judges that what is due by now has been answered.
func (o *Observer) judgeOverdue(now microtime.Time) {
	for len(o.dueAnswers) > 0 && o.dueAnswers[0].at < now {
		due := o.dueAnswers[0]
		request := due.request
		o.dueAnswers = o.dueAnswers[1:]
		if !request.isOwed() || request.server.stopped {
			continue
		}
		if limit := o.answerLimit(request.server, request); limit > due.at || request.server.pausedAt(now) {
			o.postpone(request, max(limit, now+1))
			continue
		}
		o.report(ruleLost, request.server, request, "unanswered: request %s is past its time", request.id)
		request.settled = true
	}
}

// postpone has judgeOverdue look at a request again at a time, before what is due at the same one.
func (o *Observer) postpone(request *requestState, until microtime.Time) {
	index, _ := slices.BinarySearchFunc(o.dueAnswers, until, func(due dueAnswer, at microtime.Time) int {
		return cmp.Compare(due.at, at)
	})
	o.dueAnswers = slices.Insert(o.dueAnswers, index, dueAnswer{until, request})
}

// judgeConnClosed judges that a server closes no connection with a request open on it, but for what crosses the
// close.
func (o *Observer) judgeConnClosed(conn *connState) {
	for _, request := range conn.server.open {
		if request.conn != conn || !request.isOwed() {
			continue
		}
		if o.world.Now()-request.arrivedAt > crossingGrace+o.pausedSince(conn.server, request.arrivedAt) {
			o.report(ruleLost, conn.server, request, "closed by the server: request %s was open on the connection", request.id)
		}
		request.settled = true
	}
}
