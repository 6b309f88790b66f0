package thrift

import "fmt"

// ReplyKind is what a server's message is.
type ReplyKind uint8

// The server's messages.
const (
	ReplyAnswer    ReplyKind = iota + 1 // process or probe returned an Answer
	ReplyThrottled                      // this try never ran
	ReplyBroken                         // failed
	ReplyException                      // an application exception: failed, or not understood
	ReplyFarewell                       // no new request shall come on this connection
)

// Reply is one message from a server to its caller. Body shares the payload's memory.
type Reply struct {
	Kind       ReplyKind
	MethodName string
	SequenceID int32
	Body       []byte
	Fields     map[string]string
	Good       bool
	Text       string // of an exception
}

// DecodeReply reads the payload of a server's message: what a caller, or whoever looks on, needs.
func DecodeReply(payload []byte) (p Reply, err error) {
	r := &reader{in: payload}
	head := r.u32()
	p.MethodName = string(r.bytes())
	p.SequenceID = int32(r.u32())
	switch {
	case r.err != nil:
	case head&versionMask != version1:
		r.fail("not the strict binary protocol")
	case head&0xff == kindException:
		p.Kind = ReplyException
		r.fields(func(kind byte, id uint16) bool {
			if id != 1 || kind != typeString {
				return false
			}
			p.Text = string(r.bytes())
			return true
		})
	case head&0xff == kindOneway && p.MethodName == "farewell":
		p.Kind = ReplyFarewell
	case head&0xff == kindReply:
		r.fields(func(kind byte, id uint16) bool {
			if kind != typeStruct || id > 2 {
				return false
			}
			p.Kind = [...]ReplyKind{ReplyAnswer, ReplyThrottled, ReplyBroken}[id]
			r.fields(func(kind byte, at uint16) bool { return p.field(r, id, kind, at) })
			return true
		})
		if r.err == nil && p.Kind == 0 {
			r.fail("a reply without a result")
		}
	default:
		r.fail("no message of a server's")
	}
	if r.err != nil {
		return p, fmt.Errorf("%w: %w", ErrInvalidFrame, r.err)
	}
	return p, nil
}

// field reads one field of an Answer, or of an exception that has the fields alone.
func (p *Reply) field(r *reader, of uint16, kind byte, id uint16) bool {
	switch {
	case of == 0 && id == 1 && kind == typeString:
		p.Body = r.bytes()
	case kind == typeMap && (of == 0 && id == 2 || of > 0 && id == 1):
		p.Fields = r.stringMap()
	case of == 0 && id == 3 && kind == typeBool:
		p.Good = r.u8() != 0
	default:
		return false
	}
	return true
}

// AppendGiveUp writes the notice that a caller no longer waits for a request.
func AppendGiveUp(out []byte, seq int32) []byte {
	w := begin(out, kindOneway, "giveUp", 0)
	w.field(typeI32, 1)
	w.u32(uint32(seq))
	w.stop()
	return w.end()
}

// AppendProbe writes a health check.
func AppendProbe(out []byte, seq int32, deep bool) []byte {
	w := begin(out, kindCall, "probe", seq)
	w.field(typeBool, 1)
	if deep {
		w.out = append(w.out, 1)
	} else {
		w.out = append(w.out, 0)
	}
	w.stop()
	return w.end()
}
