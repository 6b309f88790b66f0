package invariant

import (
	"pewterline/internal/protocol/thrift"
)

// probeMethod is the method name in the answer to a health check.
const probeMethod = "probe"

// parseThriftCall parses one message of a caller and returns its size; 0 if it is incomplete.
func (o *Observer) parseThriftCall(conn *connState, in []byte) int {
	payload, size, err := thrift.SplitFrame(in)
	conn.broken = err != nil
	if payload == nil {
		return 0
	}
	message, _, err := thrift.DecodeCall(payload)
	conn.broken = err != nil
	if !conn.broken {
		o.thriftCallReceived(conn, message)
	}
	return size
}

// parseThriftReply parses one message of a server and returns its size; 0 if it is incomplete.
func (o *Observer) parseThriftReply(conn *connState, in []byte) int {
	payload, size, err := thrift.SplitFrame(in)
	conn.broken = err != nil
	if payload == nil {
		return 0
	}
	reply, err := thrift.DecodeReply(payload)
	if err != nil {
		conn.broken = true
		o.report(ruleLost, conn.server, nil, "unreadable answer: %v", err)
		return size
	}
	o.thriftReplyWritten(conn, reply)
	return size
}

// thriftCallReceived handles a caller's message when it reaches the server.
func (o *Observer) thriftCallReceived(conn *connState, message thrift.Call) {
	switch message.Method {
	case thrift.MethodProbe:
		o.healthCheckReceived(conn, message)
	case thrift.MethodGiveUp:
		o.cancellationReceived(conn, message.CancelledID)
	case thrift.MethodProcess:
		o.processReceived(conn, message)
	case thrift.MethodUnknown: // answered with an error, which CountsOf counts
	}
}

// cancellationReceived handles the cancellation of the request with a sequence ID.
func (o *Observer) cancellationReceived(conn *connState, sequenceID int32) {
	request := conn.openRequests[sequenceID]
	switch {
	case request != nil && request.answers > 0:
		o.noteSituation(conn.server, "give-up after the answer")
	case request != nil:
		o.requestCancelled(request)
	case sequenceID <= conn.lastSequenceID:
		o.noteSituation(conn.server, "give-up after the end")
	default:
		o.noteSituation(conn.server, "give-up for a number never used")
	}
}

// processReceived handles a request. After a repeated sequence ID, which no proxy sends, the connection and its open
// requests are no longer checked.
func (o *Observer) processReceived(conn *connState, message thrift.Call) {
	if conn.openRequests[message.SequenceID] != nil || message.SequenceID <= conn.lastSequenceID {
		conn.broken = true
		for _, request := range conn.openRequests {
			request.settled = true
		}
		return
	}
	conn.lastSequenceID = message.SequenceID
	header := func(name string) string { return message.Fields[name] }
	if request := o.requestReceived(conn, header, message.Body); request != nil {
		conn.openRequests[message.SequenceID] = request
	}
}

// thriftReplyWritten handles a server's message when the server writes it.
func (o *Observer) thriftReplyWritten(conn *connState, reply thrift.Reply) {
	if reply.Kind == thrift.ReplyFarewell {
		o.noteSituation(conn.server, "farewell")
		return
	}
	if reply.MethodName == probeMethod {
		o.healthCheckAnswered(conn, reply)
		return
	}
	request := conn.openRequests[reply.SequenceID]
	if request == nil {
		if reply.Kind != thrift.ReplyException {
			o.report(ruleDuplicate, conn.server, nil, "answer to no request: sequence ID %d", reply.SequenceID)
		}
		conn.server.strayErrors++
		return
	}
	o.requestAnswered(request, thriftAnswerKind(reply.Kind), reply.Body)
}

// thriftAnswerKind returns the kind of a final answer by Thrift.
func thriftAnswerKind(kind thrift.ReplyKind) string {
	switch kind {
	case thrift.ReplyAnswer:
		return answerServed
	case thrift.ReplyThrottled:
		return answerRejected
	case thrift.ReplyBroken, thrift.ReplyException:
		return answerFailed
	default:
		return ""
	}
}
