package fakes

import (
	"slices"
	"strconv"

	"pewterline/internal/microtime"
	"pewterline/internal/protocol/thrift"
)

const (
	// tenantPosition is where the tenant stands among the fields of a request.
	tenantPosition = 4
	// unusedSequences is how far past the last one a sequence ID is that no request has.
	unusedSequences = 1000
)

// envelope lists the fields of an attempt, in the order in which they are sent by either protocol.
func (c *Caller) envelope(sent *attempt) []thrift.Field {
	request := sent.job
	fields := []thrift.Field{
		{Name: "class", Value: c.classOf(request).Name},
		{Name: "id", Value: sent.id},
		{Name: "at", Value: strconv.FormatInt(c.env.wall.UnixMilli(c.env.World.Now()), 10)},
		{Name: "from", Value: strconv.Itoa(c.number)},
		{Name: "kb", Value: strconv.FormatFloat(request.sizeKB, 'f', 1, 64)},
		{Name: "rank", Value: strconv.FormatFloat(request.rank, 'f', 4, 64)},
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

// writeThrift writes an attempt by Thrift.
func (c *callerConn) writeThrift(sent *attempt) {
	c.stream.Write(thrift.AppendCall(nil, sent.sequenceID, c.caller.envelope(sent), sent.job.body))
}

// writeCancel writes the cancellation of a request by Thrift.
func (c *callerConn) writeCancel(sequenceID int32) {
	c.stream.Write(thrift.AppendGiveUp(nil, sequenceID))
}

// parseThrift takes one message off the bytes read, and returns its size; 0 where it is not whole.
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

// thriftReplyReceived takes a message of the server's.
func (c *callerConn) thriftReplyReceived(reply thrift.Reply) {
	if reply.Kind == thrift.ReplyFarewell {
		c.draining = true
		c.rest()
		return
	}
	index := slices.IndexFunc(c.open, func(sent *attempt) bool { return sent.sequenceID == reply.SequenceID })
	if index < 0 {
		return // it crossed a cancellation
	}
	finished := c.open[index]
	c.finish(finished)
	c.caller.allowanceReceived(c.server, reply.Fields["say"])
	if c.caller.faults.cancelLateUntil > c.caller.env.World.Now() {
		c.writeCancel(finished.sequenceID)
		c.writeCancel(finished.sequenceID + unusedSequences)
	}
	c.answered(finished, answer{
		outcome:    thriftOutcome(reply.Kind),
		retryAfter: parseMillis(reply.Fields["after"]),
		noRetry:    reply.Fields["last"] == "1",
	})
	c.rest()
}

// thriftOutcome is what a reply by Thrift says became of an attempt.
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

// parseMillis reads a duration in milliseconds; what is no number counts as none.
func parseMillis(text string) microtime.Time {
	millis, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0
	}
	return microtime.Time(millis) * microtime.Millisecond
}
