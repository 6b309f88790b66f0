package thriftfrontend

import (
	"strconv"

	"pewterline/internal/dispatch"
	"pewterline/internal/frontend"
	"pewterline/internal/protocol/thrift"
)

// The fields of responses, as the platform's protocol names them.
const (
	fieldAdmissionLevel = "say"
	fieldRetryAfter     = "after" // in milliseconds
	fieldNoRetry        = "last"
)

// responder sends the response to one request.
type responder struct {
	session    *session
	sequenceID int32
}

// Respond implements dispatch.Responder.
func (r *responder) Respond(response dispatch.Response) {
	s := r.session
	if s.closed {
		return
	}
	delete(s.inFlight, r.sequenceID)
	s.lastActive = s.frontend.server.Now()
	s.write(appendResponse(s.scratch[:0], r.sequenceID, response, s.responseFields()))
}

// appendResponse appends the reply to a call of process.
func appendResponse(out []byte, sequenceID int32, response dispatch.Response, fields []thrift.Field) []byte {
	switch response.Status {
	case dispatch.StatusSucceeded:
		return thrift.AppendAnswer(out, thrift.Answer{
			MethodName: thrift.ProcessName,
			SequenceID: sequenceID,
			Body:       response.Result,
			Fields:     fields,
			Good:       true,
		})
	case dispatch.StatusRejected:
		return thrift.AppendThrottled(out, sequenceID, appendAdvice(fields, response))
	default:
		return thrift.AppendBroken(out, sequenceID, fields)
	}
}

// appendAdvice appends the fields that state when to retry, and whether another server may be tried.
func appendAdvice(fields []thrift.Field, response dispatch.Response) []thrift.Field {
	if response.RetryAfter > 0 {
		milliseconds := strconv.FormatInt(frontend.CeilMilliseconds(response.RetryAfter), 10)
		fields = append(fields, thrift.Field{Name: fieldRetryAfter, Value: milliseconds})
	}
	if response.NoRetry {
		fields = append(fields, thrift.Field{Name: fieldNoRetry, Value: "1"})
	}
	return fields
}
