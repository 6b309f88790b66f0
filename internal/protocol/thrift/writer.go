package thrift

import "encoding/binary"

// writer appends one framed message to a buffer.
type writer struct {
	out   []byte
	start int // offset of the frame in out
}

// begin appends the frame header, whose length end fills in, and the message header.
func begin(out []byte, kind messageType, name string, sequenceID int32) *writer {
	w := &writer{start: len(out), out: append(out, make([]byte, frameHeaderSize)...)}
	w.u32(version1 | uint32(kind))
	w.string(name)
	w.u32(uint32(sequenceID))
	return w
}

// end fills in the frame's length and returns the buffer.
func (w *writer) end() []byte {
	binary.BigEndian.PutUint32(w.out[w.start:], uint32(len(w.out)-w.start-frameHeaderSize))
	return w.out
}

func (w *writer) u32(v uint32) { w.out = binary.BigEndian.AppendUint32(w.out, v) }

func (w *writer) string(s string) {
	w.u32(uint32(len(s)))
	w.out = append(w.out, s...)
}

func (w *writer) bytes(p []byte) {
	w.u32(uint32(len(p)))
	w.out = append(w.out, p...)
}

func (w *writer) boolean(v bool) {
	if v {
		w.out = append(w.out, 1)
	} else {
		w.out = append(w.out, 0)
	}
}

func (w *writer) stringMap(fields []Field) {
	w.out = append(w.out, byte(typeString), byte(typeString))
	w.u32(uint32(len(fields)))
	for _, field := range fields {
		w.string(field.Name)
		w.string(field.Value)
	}
}

// field appends the header of a struct's field. The caller appends the value.
func (w *writer) field(kind valueType, id uint16) {
	w.out = binary.BigEndian.AppendUint16(append(w.out, byte(kind)), id)
}

// stop appends the end of a struct.
func (w *writer) stop() { w.out = append(w.out, byte(typeStop)) }
