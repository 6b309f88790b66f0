package thrift

import (
	"encoding/binary"
	"fmt"
)

const (
	// maxSkipDepth is the deepest nesting of values that can be skipped.
	maxSkipDepth = 16
	// maxFixedSize is the size of the largest value of a fixed size, in bytes.
	maxFixedSize = 8
	// minStringSize is the size of an empty string in bytes: its length prefix alone.
	minStringSize = 4
)

// fixedSizes are the sizes, in bytes, of the types with a fixed size.
var fixedSizes = [...]int{typeBool: 1, typeByte: 1, typeI16: 2, typeI32: 4, typeI64: 8, typeDouble: 8}

// DecodeError reports a payload that is not a valid message.
type DecodeError struct {
	Reason string
}

// Error implements error.
func (e *DecodeError) Error() string { return "thrift: " + e.Reason }

// reader decodes values from the front of a payload. It keeps the first error, a *DecodeError, in err and returns zero
// values from then on.
type reader struct {
	in  []byte
	err error
}

func (r *reader) fail(format string, args ...any) {
	if r.err == nil {
		r.err = &DecodeError{Reason: fmt.Sprintf(format, args...)}
	}
	r.in = nil
}

// take consumes and returns the next n bytes. After an error it returns enough zeros for any value of a fixed size.
func (r *reader) take(n int) []byte {
	if n < 0 || n > len(r.in) {
		r.fail("value runs past the end of its message")
		return make([]byte, max(0, min(n, maxFixedSize)))
	}
	out := r.in[:n]
	r.in = r.in[n:]
	return out
}

func (r *reader) u8() byte             { return r.take(1)[0] }
func (r *reader) u16() uint16          { return binary.BigEndian.Uint16(r.take(2)) }
func (r *reader) u32() uint32          { return binary.BigEndian.Uint32(r.take(4)) }
func (r *reader) i32() int32           { return int32(r.u32()) }
func (r *reader) boolean() bool        { return r.u8() != 0 }
func (r *reader) valueType() valueType { return valueType(r.u8()) }

// bytes reads a string. It shares the payload's memory.
func (r *reader) bytes() []byte {
	length := r.u32()
	if r.err != nil {
		return nil
	}
	if length > uint32(len(r.in)) {
		r.fail("string runs past the end of its message")
		return nil
	}
	return r.take(int(length))
}

// header reads the header of a message. It fails if the version is unknown.
func (r *reader) header() (kind messageType, name string, sequenceID int32) {
	version := r.u32()
	if r.err == nil && version&versionMask != version1 {
		r.fail("not the strict binary protocol")
		return 0, "", 0
	}
	return messageType(version), string(r.bytes()), r.i32()
}

// fields calls read for each field of a struct. Fields for which read returns false are skipped.
func (r *reader) fields(read func(kind valueType, id uint16) bool) {
	for r.err == nil {
		kind := r.valueType()
		if r.err != nil || kind == typeStop {
			return
		}
		if id := r.u16(); r.err == nil && !read(kind, id) {
			r.skip(kind, 0)
		}
	}
}

// skip skips a value of any type. A malicious message cannot exhaust the server with deep nesting or large counts: the
// depth is limited, and each element takes at least one byte of the message.
func (r *reader) skip(kind valueType, depth int) {
	if depth > maxSkipDepth {
		r.fail("values nest too deep")
		return
	}
	switch kind {
	case typeString:
		r.bytes()
	case typeStruct:
		r.skipStruct(depth)
	case typeMap:
		key, value := r.valueType(), r.valueType()
		r.skipElements(depth, key, value)
	case typeSet, typeList:
		r.skipElements(depth, r.valueType())
	default:
		if int(kind) >= len(fixedSizes) || fixedSizes[kind] == 0 {
			r.fail("unknown type %d", kind)
			return
		}
		r.take(fixedSizes[kind])
	}
}

func (r *reader) skipStruct(depth int) {
	for r.err == nil {
		kind := r.valueType()
		if r.err != nil || kind == typeStop {
			return
		}
		r.u16() // the field's ID
		r.skip(kind, depth+1)
	}
}

// skipElements skips the count and the elements of a container. Each element consists of one value of each kind.
func (r *reader) skipElements(depth int, kinds ...valueType) {
	count := r.u32()
	for i := uint32(0); i < count && r.err == nil; i++ {
		for _, kind := range kinds {
			r.skip(kind, depth+1)
		}
	}
}

// stringMap reads a map of strings. If a key is repeated, its last value is used.
func (r *reader) stringMap() map[string]string {
	keyType, elementType, count := r.valueType(), r.valueType(), r.u32()
	if r.err != nil {
		return nil
	}
	if count > 0 && (keyType != typeString || elementType != typeString) {
		r.fail("fields are not a map of strings")
		return nil
	}
	if int64(count)*2*minStringSize > int64(len(r.in)) {
		r.fail("map runs past the end of its message")
		return nil
	}
	out := make(map[string]string, count)
	for i := uint32(0); i < count && r.err == nil; i++ {
		key := string(r.bytes())
		out[key] = string(r.bytes())
	}
	return out
}
