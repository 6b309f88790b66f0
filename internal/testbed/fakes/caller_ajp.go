package fakes

import (
	"net/http"
	"strconv"

	"pewterline/internal/protocol/ajp"
)

// ajpHeaderPrefix begins the names of the headers that carry the fields of the envelope in an AJP message.
const ajpHeaderPrefix = "X-Relay-"

// writeAJP writes an attempt as an AJP request. Callers' bodies fit into one packet.
func (c *callerConn) writeAJP(sent *attempt) {
	request := ajp.Request{
		Method:     "POST",
		URI:        "/" + c.caller.classOf(sent.job).Name,
		RemoteAddr: "127.0.0.1",
		Headers:    []ajp.Header{{Name: "content-length", Value: strconv.Itoa(len(sent.job.body))}},
	}
	for _, field := range c.caller.envelope(sent) {
		request.Headers = append(request.Headers, ajp.Header{Name: ajpHeaderPrefix + field.Name, Value: field.Value})
	}
	packets, _ := ajp.AppendBodyChunk(ajp.AppendForwardRequest(nil, request), sent.job.body)
	c.stream.Write(packets)
}

// parseAJP handles the first packet of the bytes read, and returns its size; 0 if it is incomplete.
func (c *callerConn) parseAJP() (int, error) {
	payload, size, err := ajp.SplitPacket(c.in, ajp.FromContainer)
	if err != nil || payload == nil {
		return 0, err
	}
	response, err := ajp.ParseResponse(payload)
	if err != nil {
		return 0, err
	}
	switch response.Code {
	case ajp.CodeSendHeaders:
		c.head = ajpAnswer(response)
	case ajp.CodeEndResponse:
		c.ajpResponseEnded(response)
	default: // bodies and pings are ignored
	}
	return size, nil
}

// ajpResponseEnded handles the end of the answer to the only request on the connection.
func (c *callerConn) ajpResponseEnded(response ajp.Response) {
	if len(c.open) == 0 {
		return
	}
	finished := c.open[0]
	c.finish(finished)
	if response.Reuse {
		c.closeWhenIdle()
	} else {
		c.close()
	}
	c.answered(finished, c.head)
}

// ajpAnswer decodes the answer to an attempt from the headers of a response.
func ajpAnswer(response ajp.Response) answer {
	var head answer
	switch response.Status {
	case http.StatusOK:
		head.outcome = outcomeServed
	case http.StatusServiceUnavailable:
		head.outcome = outcomeRejected
	}
	for _, header := range response.Headers {
		switch header.Name {
		case ajpHeaderPrefix + "After-Ms":
			head.retryAfter = parseMillis(header.Value)
		case ajpHeaderPrefix + "Last":
			head.noRetry = header.Value == "1"
		}
	}
	return head
}
