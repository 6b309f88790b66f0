package invariant

import (
	"net/http"

	"pewterline/internal/protocol/ajp"
)

// headerPrefix begins the names of the headers that carry the fields of the envelope in an AJP request.
const headerPrefix = "X-Relay-"

// parseAJP parses one packet, to the server (toListener) or to its caller, and returns its size; 0 if it is incomplete.
func (o *Observer) parseAJP(conn *connState, in []byte, toListener bool) int {
	sender := ajp.FromContainer
	if toListener {
		sender = ajp.FromServer
	}
	payload, size, err := ajp.SplitPacket(in, sender)
	conn.broken = err != nil
	if payload == nil {
		return 0
	}
	if toListener {
		o.ajpPacketReceived(conn, payload)
	} else {
		o.ajpPacketWritten(conn, payload)
	}
	return size
}

// ajpPacketReceived handles a packet from the web server when it reaches the server: the head of a request, or a part
// of its body.
func (o *Observer) ajpPacketReceived(conn *connState, payload []byte) {
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
	conn.currentRequest = o.requestReceived(conn, header, conn.body)
}

// ajpPacketWritten handles a packet to the web server when the server writes it.
func (o *Observer) ajpPacketWritten(conn *connState, payload []byte) {
	response, err := ajp.ParseResponse(payload)
	if err != nil {
		conn.broken = true
		o.report(ruleLost, conn.server, nil, "unreadable answer: %v", err)
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
	default: // other packets are not part of an answer
	}
}

// ajpAnswerKind returns the kind of a final answer with an HTTP status.
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
