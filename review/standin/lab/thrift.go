package lab

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sort"
	"sync"
	"time"
)

// The message types of the strict binary protocol, and the types of fields.
const (
	typeCall      = 1
	typeReply     = 2
	typeException = 3
	typeOneway    = 4

	fieldBool   = 2
	fieldI32    = 8
	fieldBinary = 11
	fieldStruct = 12
	fieldMap    = 13
)

// Reply is an answer of a log server.
type Reply struct {
	Kind   string // "served", "refused", "failed", "error" (an application exception) or "closed"
	Body   string
	Fields map[string]string
	Good   bool
}

func (r Reply) String() string { return fmt.Sprintf("%s body=%q fields=%v", r.Kind, r.Body, r.Fields) }

type writer struct{ b []byte }

func (w *writer) u8(v byte)    { w.b = append(w.b, v) }
func (w *writer) i16(v int)    { w.b = binary.BigEndian.AppendUint16(w.b, uint16(v)) }
func (w *writer) i32(v int32)  { w.b = binary.BigEndian.AppendUint32(w.b, uint32(v)) }
func (w *writer) str(s string) { w.i32(int32(len(s))); w.b = append(w.b, s...) }
func (w *writer) field(kind byte, id int) {
	w.u8(kind)
	w.i16(id)
}
func (w *writer) strMap(m map[string]string) {
	w.u8(fieldBinary)
	w.u8(fieldBinary)
	w.i32(int32(len(m)))
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		w.str(name)
		w.str(m[name])
	}
}
func (w *writer) header(kind byte, method string, seq int32) {
	w.i32(int32(-0x7fff0000 | int32(kind))) // 0x80010000 and the type
	w.str(method)
	w.i32(seq)
}
func (w *writer) frame() []byte {
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(w.b))), w.b...)
}

// CallFrame returns the frame of a request.
func CallFrame(seq int32, fields map[string]string, body string) []byte {
	w := &writer{}
	w.header(typeCall, "process", seq)
	w.field(fieldMap, 1)
	w.strMap(fields)
	w.field(fieldBinary, 2)
	w.str(body)
	w.u8(0)
	return w.frame()
}

func giveUpFrame(own, seq int32) []byte {
	w := &writer{}
	w.header(typeOneway, "giveUp", own)
	w.field(fieldI32, 1)
	w.i32(seq)
	w.u8(0)
	return w.frame()
}

func probeFrame(seq int32) []byte {
	w := &writer{}
	w.header(typeCall, "probe", seq)
	w.field(fieldBool, 1)
	w.u8(0)
	w.u8(0)
	return w.frame()
}

var errShort = errors.New("message cut short")

type reader struct{ b []byte }

func (r *reader) take(n int) []byte {
	if n < 0 || n > len(r.b) {
		panic(errShort)
	}
	out := r.b[:n]
	r.b = r.b[n:]
	return out
}
func (r *reader) u8() byte    { return r.take(1)[0] }
func (r *reader) i16() int    { return int(binary.BigEndian.Uint16(r.take(2))) }
func (r *reader) i32() int32  { return int32(binary.BigEndian.Uint32(r.take(4))) }
func (r *reader) str() string { return string(r.take(int(r.i32()))) }

// value reads a value: a string, a map of strings, a struct by field number, a bool or an i32.
func (r *reader) value(kind byte) any {
	switch kind {
	case fieldBool:
		return r.u8() != 0
	case fieldI32:
		return r.i32()
	case fieldBinary:
		return r.str()
	case fieldMap:
		r.take(2)
		m := map[string]string{}
		for n := r.i32(); n > 0; n-- {
			name := r.str()
			m[name] = r.str()
		}
		return m
	case fieldStruct:
		s := map[int]any{}
		for {
			kind := r.u8()
			if kind == 0 {
				return s
			}
			id := r.i16()
			s[id] = r.value(kind)
		}
	}
	panic(fmt.Errorf("type %d", kind))
}

type message struct {
	kind   byte
	method string
	seq    int32
	args   map[int]any
}

func readMessage(conn io.Reader) (m message, err error) {
	var size [4]byte
	if _, err = io.ReadFull(conn, size[:]); err != nil {
		return m, err
	}
	payload := make([]byte, binary.BigEndian.Uint32(size[:]))
	if _, err = io.ReadFull(conn, payload); err != nil {
		return m, err
	}
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("unreadable message: %v", p)
		}
	}()
	r := &reader{payload}
	m.kind = byte(r.i32())
	m.method = r.str()
	m.seq = r.i32()
	m.args, _ = r.value(fieldStruct).(map[int]any)
	return m, nil
}

func asMap(v any) map[string]string { m, _ := v.(map[string]string); return m }
func asString(v any) string         { s, _ := v.(string); return s }
func asStruct(v any) map[int]any    { s, _ := v.(map[int]any); return s }

func replyOf(m message) Reply {
	if m.kind == typeException {
		return Reply{Kind: "error", Body: asString(m.args[1])}
	}
	if answer, ok := m.args[0]; ok {
		s := asStruct(answer)
		good, _ := s[3].(bool)
		return Reply{Kind: "served", Body: asString(s[1]), Fields: asMap(s[2]), Good: good}
	}
	if refused, ok := m.args[1]; ok {
		return Reply{Kind: "refused", Fields: asMap(asStruct(refused)[1])}
	}
	return Reply{Kind: "failed", Fields: asMap(asStruct(m.args[2])[1])}
}

// Conn is a proxy's connection to a log server.
type Conn struct {
	conn    net.Conn
	mu      sync.Mutex
	seq     int32
	waiting map[int32]chan Reply
	closed  bool
}

// Dial opens a connection to a log server.
func Dial(address string) (*Conn, error) {
	conn, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &Conn{conn: conn, waiting: map[int32]chan Reply{}}
	go c.read()
	return c, nil
}

func (c *Conn) read() {
	for {
		m, err := readMessage(c.conn)
		c.mu.Lock()
		if err != nil {
			c.closed = true
			for seq, waiting := range c.waiting {
				waiting <- Reply{Kind: "closed"}
				delete(c.waiting, seq)
			}
			c.mu.Unlock()
			_ = c.conn.Close()
			return
		}
		if waiting := c.waiting[m.seq]; m.kind != typeOneway && waiting != nil {
			waiting <- replyOf(m)
			delete(c.waiting, m.seq)
		}
		c.mu.Unlock()
	}
}

// Call is a call that was written. Answer gets its reply.
type Call struct {
	Answer chan Reply
	conn   *Conn
	seq    int32
}

func (c *Conn) write(frame func(seq int32) []byte) Call {
	c.mu.Lock()
	defer c.mu.Unlock()
	answer := make(chan Reply, 1)
	if c.closed {
		answer <- Reply{Kind: "closed"}
		return Call{Answer: answer, conn: c}
	}
	c.seq++
	c.waiting[c.seq] = answer
	_, _ = c.conn.Write(frame(c.seq)) // a failure ends read
	return Call{Answer: answer, conn: c, seq: c.seq}
}

// GiveUp tells the log server that nobody waits for the call any more.
func (k Call) GiveUp() {
	k.conn.mu.Lock()
	defer k.conn.mu.Unlock()
	if !k.conn.closed {
		k.conn.seq++
		_, _ = k.conn.conn.Write(giveUpFrame(k.conn.seq, k.seq))
	}
}

// Send sends a request.
func (c *Conn) Send(fields map[string]string, body string) Call {
	return c.write(func(seq int32) []byte { return CallFrame(seq, fields, body) })
}

// Probe sends a health check.
func (c *Conn) Probe() Call { return c.write(probeFrame) }

// Close closes the connection.
func (c *Conn) Close() { _ = c.conn.Close() }
