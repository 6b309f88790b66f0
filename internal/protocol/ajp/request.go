package ajp

import (
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"
)

// unknownLength is the ContentLength of a request that does not state it.
const unknownLength = -1

// contentLengthBits is the size of the largest accepted content length, in bits.
const contentLengthBits = 62

// defaultPort is the web server's port in requests that AppendForwardRequest encodes.
const defaultPort = 80

// Request is a forwarded request without its body.
type Request struct {
	Method        string
	URI           string
	Query         string
	RemoteAddr    string
	Headers       []Header
	Secret        string
	ContentLength int64 // of the body, in bytes; -1 if it is not stated
}

// Header returns the value of the first header with the given name, or "" if there is none. Case is ignored.
func (r *Request) Header(name string) string {
	for _, header := range r.Headers {
		if strings.EqualFold(header.Name, name) {
			return header.Value
		}
	}
	return ""
}

// IsChunked reports whether the request has a body of unknown length, which must be requested chunk by chunk.
func (r *Request) IsChunked() bool {
	return r.ContentLength < 0 && strings.Contains(strings.ToLower(r.Header("transfer-encoding")), "chunked")
}

// ParseForwardRequest parses the payload of a forwarded request, including its code. Errors wrap ErrMalformedRequest.
func ParseForwardRequest(payload []byte) (Request, error) {
	in := &reader{in: payload}
	request := Request{ContentLength: unknownLength}
	if Code(in.u8()) != CodeForwardRequest {
		in.fail("not a forwarded request")
	}
	method := in.u8()
	if int(method) < len(methods) {
		request.Method = methods[method]
	}
	in.skipString() // the protocol
	request.URI = in.string()
	request.RemoteAddr = in.string()
	in.skipString() // the remote host
	in.skipString() // the server's name
	_ = in.u16()    // the server's port
	_ = in.u8()     // whether the web server was reached over TLS
	request.Headers = in.headers(requestHeaders[:])
	for request.readAttribute(in, method) {
	}
	if in.err == nil && request.Method == "" {
		in.fail("unknown method")
	}
	request.readContentLength(in)
	return request, in.err
}

// readAttribute reads one attribute. It returns false at the end of the attributes or after an error.
func (r *Request) readAttribute(in *reader, method byte) bool {
	code := in.u8()
	if in.err != nil || code == attributesEnd {
		return false
	}
	switch {
	case code == attributeNamed:
		in.skipString() // the name
		in.skipString() // the value
	case code == attributeKeySize:
		_ = in.u16()
	case code == attributeSecret:
		r.Secret = in.string()
	case code == attributeQuery:
		r.Query = in.string()
	case code == attributeStoredMethod:
		if name := in.string(); method == methodStored && len(name) <= maxStoredMethodLength {
			r.Method = name
		}
	case code >= 1 && code <= attributeMax:
		in.skipString()
	default:
		in.fail("unknown attribute")
	}
	return in.err == nil
}

func (r *Request) readContentLength(in *reader) {
	text := r.Header("content-length")
	if in.err != nil || text == "" {
		return
	}
	length, err := strconv.ParseUint(strings.TrimSpace(text), 10, contentLengthBits)
	if err != nil {
		in.fail("content-length is no number")
	}
	r.ContentLength = int64(length)
}

// AppendForwardRequest appends a request without its body. If it has a body, the headers must state the body's length.
func AppendForwardRequest(out []byte, request Request) []byte {
	return appendPacket(out, FromServer, func(payload []byte) []byte {
		method, known := methodCode(request.Method)
		if !known {
			method = methodStored
		}
		payload = append(payload, byte(CodeForwardRequest), method)
		payload = appendString(payload, "HTTP/1.1")
		payload = appendString(payload, request.URI)
		payload = appendString(payload, request.RemoteAddr)
		payload = appendString(payload, request.RemoteAddr) // as the remote host
		payload = appendString(payload, "localhost")
		payload = binary.BigEndian.AppendUint16(payload, defaultPort)
		payload = appendBool(payload, false) // no TLS
		payload = appendHeaders(payload, request.Headers, requestHeaders[:])
		if request.Query != "" {
			payload = appendString(append(payload, attributeQuery), request.Query)
		}
		if request.Secret != "" {
			payload = appendString(append(payload, attributeSecret), request.Secret)
		}
		if !known {
			payload = appendString(append(payload, attributeStoredMethod), request.Method)
		}
		return append(payload, attributesEnd)
	})
}

// ParseBodyChunk parses the payload of a packet with a chunk of a request's body. An empty chunk ends the body. Errors
// wrap ErrInvalidPacket. The chunk shares the payload's memory.
func ParseBodyChunk(payload []byte) ([]byte, error) {
	if len(payload) == 0 {
		return nil, nil
	}
	if len(payload) < 2 {
		return nil, fmt.Errorf("%w: body packet has one byte, too short for its length", ErrInvalidPacket)
	}
	length := int(binary.BigEndian.Uint16(payload))
	if length > len(payload)-2 {
		return nil, fmt.Errorf("%w: body chunk of %d bytes in a payload of %d bytes", ErrInvalidPacket, length, len(payload))
	}
	return payload[2 : 2+length], nil
}

// AppendBodyChunk appends one packet with as much of a request's body as fits, and returns the rest of the body. If
// body is empty, the packet marks the end of the body.
func AppendBodyChunk(out, body []byte) (written, rest []byte) {
	length := min(len(body), MaxBodyChunk)
	written = appendPacket(out, FromServer, func(payload []byte) []byte {
		if length == 0 {
			return payload
		}
		return append(binary.BigEndian.AppendUint16(payload, uint16(length)), body[:length]...)
	})
	return written, body[length:]
}

// AppendCPing appends a CPING, which a container answers if it still serves this connection.
func AppendCPing(out []byte) []byte {
	return appendPacket(out, FromServer, func(payload []byte) []byte { return append(payload, byte(CodeCPing)) })
}
