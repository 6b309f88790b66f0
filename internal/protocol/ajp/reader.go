package ajp

import (
	"encoding/binary"
	"fmt"
)

// reader decodes values from the front of a payload. It keeps the first error in err and returns zero values from then
// on.
type reader struct {
	in  []byte
	err error
}

func (r *reader) fail(format string, args ...any) {
	if r.err == nil {
		r.err = fmt.Errorf("%w: %s", ErrMalformedRequest, fmt.Sprintf(format, args...))
	}
	r.in = nil
}

func (r *reader) u8() byte {
	if len(r.in) < 1 {
		r.fail("ends early")
		return 0
	}
	v := r.in[0]
	r.in = r.in[1:]
	return v
}

func (r *reader) u16() uint16 {
	if len(r.in) < 2 {
		r.fail("ends early")
		return 0
	}
	v := binary.BigEndian.Uint16(r.in)
	r.in = r.in[2:]
	return v
}

// string reads a string; an absent one is "".
func (r *reader) string() string {
	length := int(r.u16())
	if length == nullStringLength || r.err != nil {
		return ""
	}
	return r.text(length)
}

// skipString skips a string.
func (r *reader) skipString() { _ = r.string() }

// text reads the given number of bytes and the zero byte after them.
func (r *reader) text(length int) string {
	if length+1 > len(r.in) || r.in[length] != 0 {
		r.fail("string without its end")
		return ""
	}
	s := string(r.in[:length])
	r.in = r.in[length+1:]
	return s
}

// headerName reads a header's name, which is encoded as a table index or a string.
func (r *reader) headerName(table []string) string {
	code := r.u16()
	if code&headerCodeMask != headerCodePrefix {
		return r.text(int(code))
	}
	if i := int(code &^ headerCodeMask); i > 0 && i < len(table) {
		return table[i]
	}
	r.fail("unknown header code")
	return ""
}

func (r *reader) headers(table []string) (out []Header) {
	count := int(r.u16())
	if count > maxHeaders {
		r.fail("too many headers")
	}
	for i := 0; i < count && r.err == nil; i++ {
		out = append(out, Header{Name: r.headerName(table), Value: r.string()})
	}
	return out
}
