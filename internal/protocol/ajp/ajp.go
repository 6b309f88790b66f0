// Package ajp reads and writes AJP 1.3, both a web server's side and a container's, over byte slices. It knows
// neither sockets nor what a request means.
package ajp

import (
	"encoding/binary"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// The sizes of the protocol.
const (
	MaxPacket = 8192
	header    = 4
	// MaxBodyChunk is the most body that fits one packet, in either direction.
	MaxBodyChunk = MaxPacket - header - 4
	maxHeaders   = 128
	maxStored    = 64 // characters of a stored method
)

// ErrInvalidPacket is wrapped by every error after which the connection's next packet cannot be found.
var ErrInvalidPacket = errors.New("ajp: broken packet")

// ErrMalformedRequest is wrapped by errors of a request inside a sound packet: it can be answered 400.
var ErrMalformedRequest = errors.New("ajp: malformed request")

// The packets' type codes.
const (
	CodeForwardRequest = 2
	CodeSendBodyChunk  = 3
	CodeSendHeaders    = 4
	CodeEndResponse    = 5
	CodeGetBodyChunk   = 6
	CodeShutdown       = 7
	CodePing           = 8
	CodeCPong          = 9
	CodeCPing          = 10
)

// Sender says who sends a packet.
type Sender uint16

// The two sides' magic numbers.
const (
	FromServer    Sender = 0x1234
	FromContainer Sender = 0x4142 // "AB"
)

var methods = [...]string{1: "OPTIONS", 2: "GET", 3: "HEAD", 4: "POST", 5: "PUT", 6: "DELETE", 7: "TRACE",
	8: "PROPFIND", 9: "PROPPATCH", 10: "MKCOL", 11: "COPY", 12: "MOVE", 13: "LOCK", 14: "UNLOCK", 15: "ACL",
	16: "REPORT", 17: "VERSION-CONTROL", 18: "CHECKIN", 19: "CHECKOUT", 20: "UNCHECKOUT", 21: "SEARCH",
	22: "MKWORKSPACE", 23: "UPDATE", 24: "LABEL", 25: "MERGE", 26: "BASELINE-CONTROL", 27: "MKACTIVITY"}

const storedMethod = 0xff

var requestHeaders = [...]string{1: "accept", 2: "accept-charset", 3: "accept-encoding", 4: "accept-language",
	5: "authorization", 6: "connection", 7: "content-type", 8: "content-length", 9: "cookie", 10: "cookie2",
	11: "host", 12: "pragma", 13: "referer", 14: "user-agent"}

var responseHeaders = [...]string{1: "Content-Type", 2: "Content-Language", 3: "Content-Length", 4: "Date",
	5: "Last-Modified", 6: "Location", 7: "Set-Cookie", 8: "Set-Cookie2", 9: "Servlet-Engine", 10: "Status",
	11: "WWW-Authenticate"}

// The attributes that need a reading of their own; all others hold one string.
const (
	attrQuery   = 0x05
	attrNamed   = 0x0a
	attrKeySize = 0x0b
	attrSecret  = 0x0c
	attrStored  = 0x0d
	attrMost    = 0x0d
	attrsDone   = 0xff
)

// Header is one header field.
type Header struct{ Name, Value string }

// Request is a forwarded request without its body.
type Request struct {
	Method        string
	URI, Query    string
	RemoteAddr    string
	Headers       []Header
	Secret        string
	ContentLength int64 // of the body; -1 where it is not told
}

// Header is the first header of that name, in any case; "" if there is none.
func (r *Request) Header(name string) string {
	for _, h := range r.Headers {
		if strings.EqualFold(h.Name, name) {
			return h.Value
		}
	}
	return ""
}

// IsChunked says that the body's length is not told, so that it must be asked for until it ends.
func (r *Request) IsChunked() bool {
	return r.ContentLength < 0 && strings.Contains(strings.ToLower(r.Header("transfer-encoding")), "chunked")
}

// SplitPacket cuts the first whole packet off in. A nil payload with no error means that more bytes are needed; an
// empty packet has an empty payload that is not nil.
func SplitPacket(in []byte, from Sender) (payload []byte, n int, err error) {
	if len(in) >= 2 && Sender(binary.BigEndian.Uint16(in)) != from {
		return nil, 0, fmt.Errorf("%w: starts with %02x%02x", ErrInvalidPacket, in[0], in[1])
	}
	if len(in) < header {
		return nil, 0, nil
	}
	size := int(binary.BigEndian.Uint16(in[2:]))
	if size > MaxPacket-header {
		return nil, 0, fmt.Errorf("%w: length %d is over %d", ErrInvalidPacket, size, MaxPacket-header)
	}
	if len(in) < header+size {
		return nil, 0, nil
	}
	return in[header : header+size : header+size], header + size, nil
}

// reader takes values off a payload; the first failure sticks.
type reader struct {
	in  []byte
	err error
}

func (r *reader) fail(what string) {
	if r.err == nil {
		r.err = fmt.Errorf("%w: %s", ErrMalformedRequest, what)
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

func (r *reader) string() string {
	n := int(r.u16())
	if n == 0xffff || r.err != nil {
		return ""
	}
	return r.text(n)
}

// text reads n bytes and the zero that ends them.
func (r *reader) text(n int) string {
	if n+1 > len(r.in) || r.in[n] != 0 {
		r.fail("string without its end")
		return ""
	}
	s := string(r.in[:n])
	r.in = r.in[n+1:]
	return s
}

// name reads a header's name: a code of the table, or a string.
func (r *reader) name(table []string) string {
	n := r.u16()
	if n&0xff00 != 0xa000 {
		return r.text(int(n))
	}
	if i := int(n & 0xff); i > 0 && i < len(table) {
		return table[i]
	}
	r.fail("unknown header code")
	return ""
}

func (r *reader) headers(table []string) (out []Header) {
	n := int(r.u16())
	if n > maxHeaders {
		r.fail("too many headers")
	}
	for i := 0; i < n && r.err == nil; i++ {
		out = append(out, Header{r.name(table), r.string()})
	}
	return out
}

// ParseForwardRequest reads the payload of a forwarded request, its type code included.
func ParseForwardRequest(payload []byte) (Request, error) {
	r := &reader{in: payload}
	req := Request{ContentLength: -1}
	if r.u8() != CodeForwardRequest {
		r.fail("not a forwarded request")
	}
	method := r.u8()
	if int(method) < len(methods) {
		req.Method = methods[method]
	}
	_ = r.string() // protocol
	req.URI = r.string()
	req.RemoteAddr = r.string()
	_, _ = r.string(), r.string() // remote host, server name
	_, _ = r.u16(), r.u8()        // port, TLS
	req.Headers = r.headers(requestHeaders[:])
	for r.err == nil {
		code := r.u8()
		if r.err != nil || code == attrsDone {
			break
		}
		switch {
		case code == attrNamed:
			_, _ = r.string(), r.string()
		case code == attrKeySize:
			r.u16()
		case code == attrSecret:
			req.Secret = r.string()
		case code == attrQuery:
			req.Query = r.string()
		case code == attrStored:
			if m := r.string(); method == storedMethod && len(m) <= maxStored {
				req.Method = m
			}
		case code >= 1 && code <= attrMost:
			_ = r.string()
		default:
			r.fail("unknown attribute")
		}
	}
	if r.err == nil && req.Method == "" {
		r.fail("unknown method")
	}
	if text := req.Header("content-length"); r.err == nil && text != "" {
		n, err := strconv.ParseUint(strings.TrimSpace(text), 10, 62)
		if err != nil {
			r.fail("content-length is no number")
		}
		req.ContentLength = int64(n)
	}
	return req, r.err
}

// ParseBodyChunk reads a packet of the body; an empty one ends it.
func ParseBodyChunk(payload []byte) ([]byte, error) {
	if len(payload) == 0 {
		return nil, nil
	}
	if len(payload) < 2 {
		return nil, fmt.Errorf("%w: body packet of one byte", ErrInvalidPacket)
	}
	n := int(binary.BigEndian.Uint16(payload))
	if n > len(payload)-2 {
		return nil, fmt.Errorf("%w: body of %d bytes in a packet of %d", ErrInvalidPacket, n, len(payload))
	}
	return payload[2 : 2+n], nil
}

// Response is one packet of a container; which fields are set depends on its code.
type Response struct {
	Code            byte
	Status          int
	Headers         []Header
	BodyChunk       []byte
	Reuse           bool
	RequestedLength int
}

// ParseResponse reads the payload of a container's packet.
func ParseResponse(payload []byte) (Response, error) {
	r := &reader{in: payload}
	p := Response{Code: r.u8()}
	switch p.Code {
	case CodeSendHeaders:
		p.Status = int(r.u16())
		_ = r.string()
		p.Headers = r.headers(responseHeaders[:])
	case CodeSendBodyChunk:
		n := int(r.u16())
		if n > len(r.in) {
			r.fail("body chunk runs past its packet")
		} else {
			p.BodyChunk = r.in[:n]
		}
	case CodeEndResponse:
		p.Reuse = r.u8() != 0
	case CodeGetBodyChunk:
		p.RequestedLength = int(r.u16())
	case CodeCPong:
	default:
		r.fail(fmt.Sprintf("unknown code %d", p.Code))
	}
	if r.err != nil {
		return p, fmt.Errorf("%w: %w", ErrInvalidPacket, r.err)
	}
	return p, nil
}

// packet appends a packet whose payload body writes.
func packet(out []byte, from Sender, body func([]byte) []byte) []byte {
	start := len(out)
	out = binary.BigEndian.AppendUint16(out, uint16(from))
	out = body(append(out, 0, 0))
	binary.BigEndian.PutUint16(out[start+2:], uint16(len(out)-start-header))
	return out
}

func appendString(out []byte, s string) []byte {
	out = binary.BigEndian.AppendUint16(out, uint16(len(s)))
	return append(append(out, s...), 0)
}

func appendHeaders(out []byte, headers []Header, table []string) []byte {
	out = binary.BigEndian.AppendUint16(out, uint16(len(headers)))
	for _, h := range headers {
		code := 0
		for i, name := range table {
			if i > 0 && strings.EqualFold(name, h.Name) {
				code = 0xa000 | i
			}
		}
		if code != 0 {
			out = binary.BigEndian.AppendUint16(out, uint16(code))
		} else {
			out = appendString(out, h.Name)
		}
		out = appendString(out, h.Value)
	}
	return out
}

// AppendSendHeaders writes the head of a response.
func AppendSendHeaders(out []byte, status int, text string, headers []Header) []byte {
	return packet(out, FromContainer, func(b []byte) []byte {
		b = binary.BigEndian.AppendUint16(append(b, CodeSendHeaders), uint16(status))
		return appendHeaders(appendString(b, text), headers, responseHeaders[:])
	})
}

// AppendResponseBody writes a response's body, in as many packets as it needs.
func AppendResponseBody(out, body []byte) []byte {
	for len(body) > 0 {
		n := min(len(body), MaxBodyChunk)
		out = packet(out, FromContainer, func(b []byte) []byte {
			b = binary.BigEndian.AppendUint16(append(b, CodeSendBodyChunk), uint16(n))
			return append(append(b, body[:n]...), 0)
		})
		body = body[n:]
	}
	return out
}

// AppendEndResponse ends a response; reuse says that the connection stays open.
func AppendEndResponse(out []byte, reuse bool) []byte {
	return packet(out, FromContainer, func(b []byte) []byte {
		if reuse {
			return append(b, CodeEndResponse, 1)
		}
		return append(b, CodeEndResponse, 0)
	})
}

// AppendGetBodyChunk asks for up to n more bytes of the body.
func AppendGetBodyChunk(out []byte, n int) []byte {
	return packet(out, FromContainer, func(b []byte) []byte {
		return binary.BigEndian.AppendUint16(append(b, CodeGetBodyChunk), uint16(min(n, MaxBodyChunk)))
	})
}

// AppendCPong answers a CPING.
func AppendCPong(out []byte) []byte {
	return packet(out, FromContainer, func(b []byte) []byte { return append(b, CodeCPong) })
}

// AppendCPing asks a container whether it still listens on this connection.
func AppendCPing(out []byte) []byte {
	return packet(out, FromServer, func(b []byte) []byte { return append(b, CodeCPing) })
}

// AppendForwardRequest writes a request's head.
func AppendForwardRequest(out []byte, r Request) []byte {
	return packet(out, FromServer, func(b []byte) []byte {
		method := byte(storedMethod)
		for i, m := range methods {
			if i > 0 && m == r.Method {
				method = byte(i)
			}
		}
		b = appendString(append(b, CodeForwardRequest, method), "HTTP/1.1")
		b = appendString(appendString(b, r.URI), r.RemoteAddr)
		b = appendString(appendString(b, r.RemoteAddr), "localhost")
		b = append(b, 0, 80, 0)
		b = appendHeaders(b, r.Headers, requestHeaders[:])
		if r.Query != "" {
			b = appendString(append(b, attrQuery), r.Query)
		}
		if r.Secret != "" {
			b = appendString(append(b, attrSecret), r.Secret)
		}
		if method == storedMethod {
			b = appendString(append(b, attrStored), r.Method)
		}
		return append(b, attrsDone)
	})
}

// AppendBodyChunk writes one packet of a request's body: what fits of it, or the end of the body if there is none.
// It returns what is left.
func AppendBodyChunk(out, body []byte) (written, left []byte) {
	n := min(len(body), MaxBodyChunk)
	return packet(out, FromServer, func(b []byte) []byte {
		if n == 0 {
			return b
		}
		return append(binary.BigEndian.AppendUint16(b, uint16(n)), body[:n]...)
	}), body[n:]
}
