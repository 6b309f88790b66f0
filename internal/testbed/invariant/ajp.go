package invariant

import (
	"net/http"

	"pewterline/internal/protocol/ajp"
)

// headerPrefix begins the headers in which an AJP request states the fields of the envelope.
const headerPrefix = "X-Relay-"

// parseAJP takes one packet off the bytes, to the server (up) or from it, and returns its size; 0 where it is not
// whole.
func (o *Observer) parseAJP(conn *connState, in []byte, up bool) int {
	sender := ajp.FromContainer
	if up {
		sender = ajp.FromServer
	}
	payload, size, err := ajp.SplitPacket(in, sender)
	conn.broken = err != nil
	if payload == nil {
		return 0
	}
	if up {
		o.ajpPacketRead(conn, payload)
	} else {
		o.ajpPacketWritten(conn, payload)
	}
	return size
}

// ajpPacketRead takes a packet of the web server's as it reaches the server: the head of a request, or a part of its
// body.
func (o *Observer) ajpPacketRead(conn *connState, payload []byte) {
	if conn.currentRequest == nil && conn.requestHead.URI == "" {
		if len(payload) == 0 || ajp.Code(payload[0]) != ajp.CodeForwardRequest {
			return
		}
		head, err := ajp.ParseForwardRequest(payload)
		if err != nil {
			conn.broken = true
			return
		}
		conn.requestHead = head
		if head.ContentLength > 0 {
			conn.body = nil
			return
		}
	} else if conn.currentRequest == nil {
		chunk, err := ajp.ParseBodyChunk(payload)
		if err != nil {
			conn.broken = true
			return
		}
		conn.body = append(conn.body, chunk...)
		if int64(len(conn.body)) < conn.requestHead.ContentLength {
			return
		}
	}
	head := conn.requestHead
	header := func(name string) string { return head.Header(headerPrefix + name) }
	conn.currentRequest = o.requestRead(conn, header, conn.body)
}

// ajpPacketWritten takes a packet of the server's as the server writes it.
func (o *Observer) ajpPacketWritten(conn *connState, payload []byte) {
	response, err := ajp.ParseResponse(payload)
	if err != nil {
		conn.broken = true
		o.report(ruleLost, conn.server, nil, "an answer that cannot be read: %v", err)
		return
	}
	switch response.Code {
	case ajp.CodeSendHeaders:
		conn.status = response.Status
		conn.result = nil
	case ajp.CodeSendBodyChunk:
		conn.result = append(conn.result, response.BodyChunk...)
	case ajp.CodeEndResponse:
		answered := conn.currentRequest
		conn.currentRequest = nil
		conn.requestHead = ajp.Request{}
		if answered != nil {
			o.requestAnswered(answered, ajpAnswerKind(conn.status), conn.result)
		}
	default: // the others carry nothing of an answer
	}
}

// ajpAnswerKind is the kind of a final answer by AJP.
func ajpAnswerKind(status int) string {
	switch status {
	case http.StatusOK:
		return answerServed
	case http.StatusServiceUnavailable:
		return answerRejected
	default:
		return answerFailed
	}
}
