package thrift

import "fmt"

// ReplyKind is the kind of a message from a server.
type ReplyKind uint8

// The kinds of messages from a server.
const (
	// ReplyAnswer is the Answer to process or probe.
	ReplyAnswer ReplyKind = iota + 1
	// ReplyThrottled means that the request was rejected and never ran.
	ReplyThrottled
	// ReplyBroken means that the request failed.
	ReplyBroken
	// ReplyException is an application exception: the call failed, was malformed or has an unknown method.
	ReplyException
	// ReplyFarewell asks the peer to send no new request on this connection.
	ReplyFarewell
)

// String returns the kind's name.
func (k ReplyKind) String() string {
	names := [...]string{
		ReplyAnswer:    "answer",
		ReplyThrottled: "throttled",
		ReplyBroken:    "broken",
		ReplyException: "exception",
		ReplyFarewell:  "farewell",
	}
	if k == 0 || int(k) >= len(names) {
		return fmt.Sprintf("ReplyKind(%d)", uint8(k))
	}
	return names[k]
}

// The fields of a reply's result struct: the result itself and the service's two exceptions.
const (
	resultAnswer    = 0
	resultThrottled = 1
	resultBroken    = 2
)

// resultKinds maps the fields of the result struct to kinds of replies.
var resultKinds = [...]ReplyKind{
	resultAnswer:    ReplyAnswer,
	resultThrottled: ReplyThrottled,
	resultBroken:    ReplyBroken,
}

// The IDs of the fields within an Answer, within the service's exceptions and within an application exception.
const (
	answerBody      = 1
	answerFields    = 2
	answerGood      = 3
	exceptionFields = 1
	exceptionText   = 1
	exceptionCode   = 2
)

// Reply is a decoded message from a server to its caller. Body shares the payload's memory.
type Reply struct {
	Kind       ReplyKind
	MethodName string
	SequenceID int32
	Body       []byte            // of an Answer
	Fields     map[string]string // of an Answer, Throttled or Broken
	Good       bool              // of an Answer
	Text       string            // of an application exception
}

// DecodeReply decodes the payload of a message from a server. Errors wrap ErrInvalidFrame.
func DecodeReply(payload []byte) (reply Reply, err error) {
	from := &reader{in: payload}
	kind, name, sequenceID := from.header()
	reply.MethodName, reply.SequenceID = name, sequenceID
	switch {
	case from.err != nil:
	case kind == messageException:
		reply.Kind = ReplyException
		from.fields(func(kind valueType, id uint16) bool {
			if id != exceptionText || kind != typeString {
				return false
			}
			reply.Text = string(from.bytes())
			return true
		})
	case kind == messageOneway && name == farewellName:
		reply.Kind = ReplyFarewell
	case kind == messageReply:
		from.fields(func(kind valueType, id uint16) bool { return reply.readResult(from, kind, id) })
		if from.err == nil && reply.Kind == 0 {
			from.fail("reply has no result")
		}
	default:
		from.fail("message is not a reply, an exception or a farewell")
	}
	if from.err != nil {
		return reply, fmt.Errorf("%w: %w", ErrInvalidFrame, from.err)
	}
	return reply, nil
}

// readResult reads one field of a result struct. It returns false for an unknown field.
func (p *Reply) readResult(from *reader, kind valueType, id uint16) bool {
	if kind != typeStruct || int(id) >= len(resultKinds) {
		return false
	}
	p.Kind = resultKinds[id]
	from.fields(func(kind valueType, id uint16) bool {
		if p.Kind == ReplyAnswer {
			return p.readAnswer(from, kind, id)
		}
		if kind != typeMap || id != exceptionFields {
			return false
		}
		p.Fields = from.stringMap()
		return true
	})
	return true
}

// readAnswer reads one field of an Answer. It returns false for an unknown field.
func (p *Reply) readAnswer(from *reader, kind valueType, id uint16) bool {
	switch {
	case id == answerBody && kind == typeString:
		p.Body = from.bytes()
	case id == answerFields && kind == typeMap:
		p.Fields = from.stringMap()
	case id == answerGood && kind == typeBool:
		p.Good = from.boolean()
	default:
		return false
	}
	return true
}

// Answer is the result of a successful call of process or probe.
type Answer struct {
	MethodName string
	SequenceID int32
	Body       []byte // the result of a request
	Fields     []Field
	Good       bool // the request was served, or the server is healthy
}

// AppendAnswer appends an Answer.
func AppendAnswer(out []byte, answer Answer) []byte {
	w := begin(out, messageReply, answer.MethodName, answer.SequenceID)
	w.field(typeStruct, resultAnswer)
	w.field(typeString, answerBody)
	w.bytes(answer.Body)
	w.field(typeMap, answerFields)
	w.stringMap(answer.Fields)
	w.field(typeBool, answerGood)
	w.boolean(answer.Good)
	w.stop()
	w.stop()
	return w.end()
}

// AppendThrottled appends the reply to a request that is rejected and never ran.
func AppendThrottled(out []byte, sequenceID int32, fields []Field) []byte {
	return appendServiceException(out, sequenceID, resultThrottled, fields)
}

// AppendBroken appends the reply to a request that failed.
func AppendBroken(out []byte, sequenceID int32, fields []Field) []byte {
	return appendServiceException(out, sequenceID, resultBroken, fields)
}

func appendServiceException(out []byte, sequenceID int32, resultField uint16, fields []Field) []byte {
	w := begin(out, messageReply, ProcessName, sequenceID)
	w.field(typeStruct, resultField)
	w.field(typeMap, exceptionFields)
	w.stringMap(fields)
	w.stop()
	w.stop()
	return w.end()
}

// AppendException appends an application exception.
func AppendException(out []byte, methodName string, sequenceID int32, code ExceptionCode, text string) []byte {
	w := begin(out, messageException, methodName, sequenceID)
	w.field(typeString, exceptionText)
	w.string(text)
	w.field(typeI32, exceptionCode)
	w.u32(uint32(code))
	w.stop()
	return w.end()
}

// AppendFarewell appends the oneway message that asks the peer to send no new request on this connection.
func AppendFarewell(out []byte) []byte {
	w := begin(out, messageOneway, farewellName, 0)
	w.stop()
	return w.end()
}
