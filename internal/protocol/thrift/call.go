package thrift

import "fmt"

// Method is the method of a call.
type Method uint8

// The methods of the service.
const (
	// MethodUnknown is any other method. Its calls are answered with an exception.
	MethodUnknown Method = iota
	// MethodProcess carries a request.
	MethodProcess
	// MethodGiveUp cancels a request; it is oneway.
	MethodGiveUp
	// MethodProbe is a health check.
	MethodProbe
)

// String returns the method's name on the wire.
func (m Method) String() string {
	switch m {
	case MethodProcess:
		return ProcessName
	case MethodGiveUp:
		return giveUpName
	case MethodProbe:
		return probeName
	default:
		return "unknown"
	}
}

// The IDs of the calls' arguments.
const (
	argumentFields     = 1 // of process
	argumentBody       = 2 // of process
	argumentSequenceID = 1 // of giveUp
	argumentDeep       = 1 // of probe
)

// Call is a decoded call. Body shares the payload's memory.
type Call struct {
	Method      Method
	MethodName  string // as sent by the caller
	SequenceID  int32
	Oneway      bool              // the caller expects no reply
	Fields      map[string]string // of process
	Body        []byte            // of process
	CancelledID int32             // of giveUp: the sequence ID of the cancelled request
	Deep        bool              // of probe: the health check includes the backend
}

// DecodeCall decodes the call in a payload. On an error, answerable reports whether it can be answered with an
// exception; otherwise the connection must be closed.
func DecodeCall(payload []byte) (call Call, answerable bool, err error) {
	from := &reader{in: payload}
	kind, name, sequenceID := from.header()
	call.MethodName, call.SequenceID = name, sequenceID
	if from.err != nil {
		return call, false, fmt.Errorf("%w: %w", ErrInvalidFrame, from.err)
	}
	if kind != messageCall && kind != messageOneway {
		return call, false, fmt.Errorf("%w: message of kind %d is not a call", ErrInvalidFrame, kind)
	}
	call.Oneway = kind == messageOneway
	call.readArguments(from)
	return call, !call.Oneway, from.err
}

// readArguments reads the method and its arguments. The arguments of an unknown method are not read.
func (c *Call) readArguments(from *reader) {
	switch c.MethodName {
	case ProcessName:
		c.Method = MethodProcess
		from.fields(func(kind valueType, id uint16) bool { return c.readProcess(from, kind, id) })
	case giveUpName:
		c.Method = MethodGiveUp
		from.fields(func(kind valueType, id uint16) bool {
			if id != argumentSequenceID || kind != typeI32 {
				return false
			}
			c.CancelledID = from.i32()
			return true
		})
	case probeName:
		c.Method = MethodProbe
		from.fields(func(kind valueType, id uint16) bool {
			if id != argumentDeep || kind != typeBool {
				return false
			}
			c.Deep = from.boolean()
			return true
		})
	}
}

// readProcess reads one argument of process. It returns false for an unknown argument.
func (c *Call) readProcess(from *reader, kind valueType, id uint16) bool {
	switch {
	case id == argumentFields && kind == typeMap:
		c.Fields = from.stringMap()
	case id == argumentBody && kind == typeString:
		c.Body = from.bytes()
	default:
		return false
	}
	return true
}

// AppendCall appends a call of process.
func AppendCall(out []byte, sequenceID int32, fields []Field, body []byte) []byte {
	w := begin(out, messageCall, ProcessName, sequenceID)
	w.field(typeMap, argumentFields)
	w.stringMap(fields)
	w.field(typeString, argumentBody)
	w.bytes(body)
	w.stop()
	return w.end()
}

// AppendGiveUp appends a call that cancels the request with the given sequence ID.
func AppendGiveUp(out []byte, sequenceID int32) []byte {
	w := begin(out, messageOneway, giveUpName, 0)
	w.field(typeI32, argumentSequenceID)
	w.u32(uint32(sequenceID))
	w.stop()
	return w.end()
}

// AppendProbe appends a health check.
func AppendProbe(out []byte, sequenceID int32, deep bool) []byte {
	w := begin(out, messageCall, probeName, sequenceID)
	w.field(typeBool, argumentDeep)
	w.boolean(deep)
	w.stop()
	return w.end()
}
