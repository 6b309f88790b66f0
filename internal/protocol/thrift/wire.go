// Package thrift reads and writes the platform's service: Thrift's strict binary protocol in framed transport.
// It works on byte slices; it knows neither sockets nor what a request is worth.
package thrift

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// MaxFrame bounds one message: a body of 2 KiB and its fields fit several times over.
const MaxFrame = 16 << 10

const (
	version1    = 0x80010000
	versionMask = 0xffff0000
	maxDepth    = 16 // of nested values that are skipped
)

// The kinds of message.
const (
	kindCall      = 1
	kindReply     = 2
	kindException = 3
	kindOneway    = 4
)

// The wire's type codes that this service needs, and those it must be able to skip.
const (
	typeStop   = 0
	typeBool   = 2
	typeByte   = 3
	typeDouble = 4
	typeI16    = 6
	typeI32    = 8
	typeI64    = 10
	typeString = 11
	typeStruct = 12
	typeMap    = 13
	typeSet    = 14
	typeList   = 15
)

// ErrInvalidFrame is wrapped by every error that leaves a connection without a next message to look for.
var ErrInvalidFrame = errors.New("thrift: broken frame")

// Exception codes of TApplicationException.
const (
	ExceptionUnknownMethod = 1
	ExceptionInternalError = 6
	ExceptionProtocolError = 7
)

// SplitFrame cuts the first whole frame off in. A nil payload with no error means that more bytes are needed.
func SplitFrame(in []byte) (payload []byte, n int, err error) {
	if len(in) < 4 {
		return nil, 0, nil
	}
	size := binary.BigEndian.Uint32(in)
	if size == 0 || size > MaxFrame {
		return nil, 0, fmt.Errorf("%w: length %d is not within 1 to %d", ErrInvalidFrame, size, MaxFrame)
	}
	if len(in) < 4+int(size) {
		return nil, 0, nil
	}
	return in[4 : 4+size], 4 + int(size), nil
}

// reader takes values off a payload; the first failure sticks.
type reader struct {
	in  []byte
	err error
}

func (r *reader) fail(what string) {
	if r.err == nil {
		r.err = fmt.Errorf("thrift: %s", what)
	}
	r.in = nil
}

func (r *reader) take(n int) []byte {
	if n < 0 || n > len(r.in) {
		r.fail("value runs past the end of its message")
		return make([]byte, max(0, min(n, 8)))
	}
	out := r.in[:n]
	r.in = r.in[n:]
	return out
}

func (r *reader) u8() byte    { return r.take(1)[0] }
func (r *reader) u16() uint16 { return binary.BigEndian.Uint16(r.take(2)) }
func (r *reader) u32() uint32 { return binary.BigEndian.Uint32(r.take(4)) }
func (r *reader) bytes() []byte {
	n := r.u32()
	if r.err != nil {
		return nil
	}
	if n > uint32(len(r.in)) {
		r.fail("string runs past the end of its message")
		return nil
	}
	return r.take(int(n))
}

// fields walks a struct and calls read for each field; what read does not take is skipped.
func (r *reader) fields(read func(kind byte, id uint16) bool) {
	for r.err == nil {
		kind := r.u8()
		if r.err != nil || kind == typeStop {
			return
		}
		if id := r.u16(); r.err == nil && !read(kind, id) {
			r.skip(kind, 0)
		}
	}
}

// skip passes over a value of any type. Guards against nesting and counts made up to exhaust us: every element
// takes at least one byte of the message, and depth is bounded.
func (r *reader) skip(kind byte, depth int) {
	if depth > maxDepth {
		r.fail("values nest too deep")
		return
	}
	switch kind {
	case typeBool, typeByte:
		r.take(1)
	case typeI16:
		r.take(2)
	case typeI32:
		r.take(4)
	case typeDouble, typeI64:
		r.take(8)
	case typeString:
		r.bytes()
	case typeStruct:
		for r.err == nil {
			k := r.u8()
			if r.err != nil || k == typeStop {
				return
			}
			r.u16()
			r.skip(k, depth+1)
		}
	case typeMap:
		k, v, n := r.u8(), r.u8(), r.u32()
		for i := uint32(0); i < n && r.err == nil; i++ {
			r.skip(k, depth+1)
			r.skip(v, depth+1)
		}
	case typeSet, typeList:
		k, n := r.u8(), r.u32()
		for i := uint32(0); i < n && r.err == nil; i++ {
			r.skip(k, depth+1)
		}
	default:
		r.fail(fmt.Sprintf("unknown type %d", kind))
	}
}

func (r *reader) stringMap() map[string]string {
	k, v, n := r.u8(), r.u8(), r.u32()
	if r.err != nil {
		return nil
	}
	if n > 0 && (k != typeString || v != typeString) {
		r.fail("fields are not a map of strings")
		return nil
	}
	if int64(n)*8 > int64(len(r.in)) {
		r.fail("map runs past the end of its message")
		return nil
	}
	m := make(map[string]string, n)
	for i := uint32(0); i < n && r.err == nil; i++ {
		key := string(r.bytes())
		m[key] = string(r.bytes())
	}
	return m
}

// Method is what a message asks for.
type Method uint8

// The methods of the service; Unknown is any other call, which is owed an exception.
const (
	MethodUnknown Method = iota
	MethodProcess
	MethodGiveUp
	MethodProbe
)

// Call is one decoded call. Body shares the payload's memory.
type Call struct {
	Method      Method
	MethodName  string
	SequenceID  int32
	Oneway      bool
	Fields      map[string]string
	Body        []byte
	CancelledID int32
	Deep        bool
}

// DecodeCall reads the call in a payload. On an error with a known sequence number, answerable is true and an
// exception can be sent; otherwise the connection is past help.
func DecodeCall(payload []byte) (m Call, answerable bool, err error) {
	r := &reader{in: payload}
	head := r.u32()
	if r.err == nil && head&versionMask != version1 {
		return m, false, fmt.Errorf("%w: not the strict binary protocol", ErrInvalidFrame)
	}
	kind := byte(head)
	m.MethodName = string(r.bytes())
	m.SequenceID = int32(r.u32())
	if r.err != nil {
		return m, false, fmt.Errorf("%w: %w", ErrInvalidFrame, r.err)
	}
	if kind != kindCall && kind != kindOneway {
		return m, false, fmt.Errorf("%w: message of kind %d is not a call", ErrInvalidFrame, kind)
	}
	m.Oneway = kind == kindOneway
	switch m.MethodName {
	case "process":
		m.Method = MethodProcess
		r.fields(func(kind byte, id uint16) bool {
			switch {
			case id == 1 && kind == typeMap:
				m.Fields = r.stringMap()
			case id == 2 && kind == typeString:
				m.Body = r.bytes()
			default:
				return false
			}
			return true
		})
	case "giveUp":
		m.Method = MethodGiveUp
		r.fields(func(kind byte, id uint16) bool {
			if id != 1 || kind != typeI32 {
				return false
			}
			m.CancelledID = int32(r.u32())
			return true
		})
	case "probe":
		m.Method = MethodProbe
		r.fields(func(kind byte, id uint16) bool {
			if id != 1 || kind != typeBool {
				return false
			}
			m.Deep = r.u8() != 0
			return true
		})
	}
	return m, !m.Oneway, r.err
}

// writer appends one framed message to a buffer.
type writer struct {
	out   []byte
	start int
}

func begin(out []byte, kind byte, name string, seq int32) *writer {
	w := &writer{start: len(out), out: append(out, 0, 0, 0, 0)}
	w.u32(version1 | uint32(kind))
	w.string(name)
	w.u32(uint32(seq))
	return w
}

func (w *writer) u32(v uint32) { w.out = binary.BigEndian.AppendUint32(w.out, v) }

func (w *writer) string(s string) {
	w.u32(uint32(len(s)))
	w.out = append(w.out, s...)
}

func (w *writer) field(kind byte, id uint16) {
	w.out = binary.BigEndian.AppendUint16(append(w.out, kind), id)
}

func (w *writer) stop() { w.out = append(w.out, typeStop) }

func (w *writer) end() []byte {
	binary.BigEndian.PutUint32(w.out[w.start:], uint32(len(w.out)-w.start-4))
	return w.out
}

// Field is one entry of an answer's map. The order is the writer's, so that equal answers are equal bytes.
type Field struct{ Name, Value string }

func (w *writer) stringMap(fields []Field) {
	w.out = append(w.out, typeString, typeString)
	w.u32(uint32(len(fields)))
	for _, f := range fields {
		w.string(f.Name)
		w.string(f.Value)
	}
}

// AppendAnswer writes the reply of process or probe that carries an Answer.
func AppendAnswer(out []byte, method string, seq int32, body []byte, fields []Field, good bool) []byte {
	w := begin(out, kindReply, method, seq)
	w.field(typeStruct, 0)
	w.field(typeString, 1)
	w.u32(uint32(len(body)))
	w.out = append(w.out, body...)
	w.field(typeMap, 2)
	w.stringMap(fields)
	w.field(typeBool, 3)
	if good {
		w.out = append(w.out, 1)
	} else {
		w.out = append(w.out, 0)
	}
	w.stop()
	w.stop()
	return w.end()
}

// AppendThrottled writes the reply of process that refuses.
func AppendThrottled(out []byte, seq int32, fields []Field) []byte {
	return thrown(out, seq, 1, fields)
}

// AppendBroken writes the reply of process that fails.
func AppendBroken(out []byte, seq int32, fields []Field) []byte { return thrown(out, seq, 2, fields) }

func thrown(out []byte, seq int32, id uint16, fields []Field) []byte {
	w := begin(out, kindReply, "process", seq)
	w.field(typeStruct, id)
	w.field(typeMap, 1)
	w.stringMap(fields)
	w.stop()
	w.stop()
	return w.end()
}

// AppendException writes an application exception.
func AppendException(out []byte, method string, seq int32, code uint32, text string) []byte {
	w := begin(out, kindException, method, seq)
	w.field(typeString, 1)
	w.string(text)
	w.field(typeI32, 2)
	w.u32(code)
	w.stop()
	return w.end()
}

// AppendFarewell writes the oneway message after which no new request comes on a connection.
func AppendFarewell(out []byte) []byte {
	w := begin(out, kindOneway, "farewell", 0)
	w.stop()
	return w.end()
}

// AppendCall writes a call of process: what a proxy sends.
func AppendCall(out []byte, seq int32, fields []Field, body []byte) []byte {
	w := begin(out, kindCall, "process", seq)
	w.field(typeMap, 1)
	w.stringMap(fields)
	w.field(typeString, 2)
	w.u32(uint32(len(body)))
	w.out = append(w.out, body...)
	w.stop()
	return w.end()
}
