package invariant

import (
	"pewterline/internal/protocol/thrift"
)

// probeMethod is the method name of the answer to a health check.
const probeMethod = "probe"

// parseThriftCall takes one message of a caller off the bytes and returns its size; 0 where it is not whole.
func (o *Observer) parseThriftCall(conn *connState, in []byte) int {
	payload, size, err := thrift.SplitFrame(in)
	conn.broken = err != nil
	if payload == nil {
		return 0
	}
	message, _, err := thrift.DecodeCall(payload)
	conn.broken = err != nil
	if !conn.broken {
		o.thriftCallRead(conn, message)
	}
	return size
}

// parseThriftReply takes one message of a server off the bytes and returns its size; 0 where it is not whole.
func (o *Observer) parseThriftReply(conn *connState, in []byte) int {
	payload, size, err := thrift.SplitFrame(in)
	conn.broken = err != nil
	if payload == nil {
		return 0
	}
	reply, err := thrift.DecodeReply(payload)
	if err != nil {
		conn.broken = true
		o.report(ruleLost, conn.server, nil, "an answer that cannot be read: %v", err)
		return size
	}
	o.thriftReplyWritten(conn, reply)
	return size
}

// thriftCallRead takes a caller's message as it reaches the server.
func (o *Observer) thriftCallRead(conn *connState, message thrift.Call) {
	switch message.Method {
	case thrift.MethodProbe:
		o.healthCheckRead(conn, message)
	case thrift.MethodGiveUp:
		o.cancellationRead(conn, message.CancelledID)
	case thrift.MethodProcess:
		o.processRead(conn, message)
	case thrift.MethodUnknown: // it is answered with an error, which CountsOf counts
	}
}

// cancellationRead takes a cancellation of the request with a sequence ID.
func (o *Observer) cancellationRead(conn *connState, sequenceID int32) {
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

// processRead takes a request. A sequence ID that was used before makes the connection one that is not judged, as no
// proxy sends that.
func (o *Observer) processRead(conn *connState, message thrift.Call) {
	if conn.openRequests[message.SequenceID] != nil || message.SequenceID <= conn.lastSequenceID {
		conn.broken = true
		for _, request := range conn.openRequests {
			request.settled = true
		}
		return
	}
	conn.lastSequenceID = message.SequenceID
	header := func(name string) string { return message.Fields[name] }
	if request := o.requestRead(conn, header, message.Body); request != nil {
		conn.openRequests[message.SequenceID] = request
	}
}

// thriftReplyWritten takes a server's message as the server writes it.
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
			o.report(ruleDuplicate, conn.server, nil, "answer to nothing: number %d", reply.SequenceID)
		}
		conn.server.strayErrors++
		return
	}
	o.requestAnswered(request, thriftAnswerKind(reply.Kind), reply.Body)
}

// thriftAnswerKind is the kind of a final answer by Thrift.
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
