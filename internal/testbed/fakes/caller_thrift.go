package fakes

import (
	"slices"
	"strconv"

	"pewterline/internal/microtime"
	"pewterline/internal/protocol/thrift"
)

const (
	// tenantPosition is the index of the tenant among the fields of a request.
	tenantPosition = 4
	// unusedSequenceOffset is added to a sequence ID to get one that no request has used.
	unusedSequenceOffset = 1000
)

// envelope returns the fields of an attempt in the order in which both protocols send them.
func (c *Caller) envelope(sent *attempt) []thrift.Field {
	request := sent.job
	fields := []thrift.Field{
		{Name: "class", Value: c.classOf(request).Name},
		{Name: "id", Value: sent.id},
		{Name: "at", Value: strconv.FormatInt(c.env.wall.UnixMilli(c.env.Clock.Now()), 10)},
		{Name: "from", Value: strconv.Itoa(c.number)},
		{Name: "kb", Value: strconv.FormatFloat(request.sizeKB, 'f', 1, 64)},
		{Name: "rank", Value: strconv.FormatFloat(request.priority, 'f', 4, 64)},
	}
	if request.tenant != "" {
		fields = slices.Insert(fields, tenantPosition, thrift.Field{Name: "tenant", Value: request.tenant})
	}
	if request.sizeHint > 0 {
		costMS := request.sizeHint * float64(c.env.Deployment.MeanWork[request.class]) / float64(microtime.Millisecond)
		fields = append(fields, thrift.Field{Name: "cost", Value: strconv.FormatFloat(costMS, 'f', 2, 64)})
	}
	if request.attempts > 1 {
		fields = append(fields, thrift.Field{Name: "retry", Value: "1"})
	}
	if request.idempotencyKey != "" {
		fields = append(fields, thrift.Field{Name: "once", Value: request.idempotencyKey})
	}
	return fields
}

// writeThrift writes an attempt as a Thrift call.
func (c *callerConn) writeThrift(sent *attempt) {
	c.stream.Write(thrift.AppendCall(nil, sent.sequenceID, c.caller.envelope(sent), sent.job.body))
}

// writeCancel writes the cancellation of a Thrift call.
func (c *callerConn) writeCancel(sequenceID int32) {
	c.stream.Write(thrift.AppendGiveUp(nil, sequenceID))
}

// parseThrift handles the first message of the bytes read, and returns its size; 0 if it is incomplete.
func (c *callerConn) parseThrift() (int, error) {
	payload, size, err := thrift.SplitFrame(c.in)
	if err != nil || payload == nil {
		return 0, err
	}
	reply, err := thrift.DecodeReply(payload)
	if err != nil {
		return 0, err
	}
	c.thriftReplyReceived(reply)
	return size, nil
}

// thriftReplyReceived handles a message from the server.
func (c *callerConn) thriftReplyReceived(reply thrift.Reply) {
	if reply.Kind == thrift.ReplyFarewell {
		c.draining = true
		c.closeWhenIdle()
		return
	}
	index := slices.IndexFunc(c.open, func(sent *attempt) bool { return sent.sequenceID == reply.SequenceID })
	if index < 0 {
		return // the answer crossed a cancellation
	}
	finished := c.open[index]
	c.finish(finished)
	c.caller.allowanceReceived(c.server, reply.Fields["say"])
	if c.caller.faults.cancelLateUntil > c.caller.env.Clock.Now() {
		c.writeCancel(finished.sequenceID)
		c.writeCancel(finished.sequenceID + unusedSequenceOffset)
	}
	c.answered(finished, answer{
		outcome:    thriftOutcome(reply.Kind),
		retryAfter: parseMillis(reply.Fields["after"]),
		noRetry:    reply.Fields["last"] == "1",
	})
	c.closeWhenIdle()
}

// thriftOutcome returns the outcome of an attempt for a kind of Thrift reply.
func thriftOutcome(kind thrift.ReplyKind) outcome {
	switch kind {
	case thrift.ReplyAnswer:
		return outcomeServed
	case thrift.ReplyThrottled:
		return outcomeRejected
	default:
		return outcomeFailed
	}
}

// parseMillis parses a duration in milliseconds, and returns 0 for a text that is no number.
func parseMillis(text string) microtime.Time {
	millis, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0
	}
	return microtime.Time(millis) * microtime.Millisecond
}
