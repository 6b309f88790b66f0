package ajp

import (
	"encoding/binary"
	"fmt"
)

// Response is one packet from a container. Which fields are set depends on its code.
type Response struct {
	Code            Code
	Status          int      // of CodeSendHeaders: the HTTP status
	Headers         []Header // of CodeSendHeaders
	BodyChunk       []byte   // of CodeSendBodyChunk; it shares the payload's memory
	Reuse           bool     // of CodeEndResponse: the connection stays open
	RequestedLength int      // of CodeGetBodyChunk, in bytes
}

// ParseResponse parses the payload of a packet from a container. Errors wrap ErrInvalidPacket.
func ParseResponse(payload []byte) (Response, error) {
	in := &reader{in: payload}
	response := Response{Code: Code(in.u8())}
	switch response.Code {
	case CodeSendHeaders:
		response.Status = int(in.u16())
		in.skipString() // the reason phrase
		response.Headers = in.headers(responseHeaders[:])
	case CodeSendBodyChunk:
		length := int(in.u16())
		if length > len(in.in) {
			in.fail("body chunk runs past the end of its packet")
		} else {
			response.BodyChunk = in.in[:length]
		}
	case CodeEndResponse:
		response.Reuse = in.u8() != 0
	case CodeGetBodyChunk:
		response.RequestedLength = int(in.u16())
	case CodeCPong:
	default:
		in.fail("unknown code %d", response.Code)
	}
	if in.err != nil {
		return response, fmt.Errorf("%w: %w", ErrInvalidPacket, in.err)
	}
	return response, nil
}

// AppendSendHeaders appends the head of a response.
func AppendSendHeaders(out []byte, status int, text string, headers []Header) []byte {
	return appendPacket(out, FromContainer, func(payload []byte) []byte {
		payload = binary.BigEndian.AppendUint16(append(payload, byte(CodeSendHeaders)), uint16(status))
		return appendHeaders(appendString(payload, text), headers, responseHeaders[:])
	})
}

// AppendResponseBody appends a response's body, split into packets.
func AppendResponseBody(out, body []byte) []byte {
	for len(body) > 0 {
		length := min(len(body), MaxBodyChunk)
		out = appendPacket(out, FromContainer, func(payload []byte) []byte {
			payload = binary.BigEndian.AppendUint16(append(payload, byte(CodeSendBodyChunk)), uint16(length))
			return append(append(payload, body[:length]...), 0)
		})
		body = body[length:]
	}
	return out
}

// AppendEndResponse appends the end of a response. reuse says whether the connection stays open.
func AppendEndResponse(out []byte, reuse bool) []byte {
	return appendPacket(out, FromContainer, func(payload []byte) []byte {
		return appendBool(append(payload, byte(CodeEndResponse)), reuse)
	})
}

// AppendGetBodyChunk appends a request for the next bytes of the body, at most length of them.
func AppendGetBodyChunk(out []byte, length int) []byte {
	return appendPacket(out, FromContainer, func(payload []byte) []byte {
		length := uint16(min(length, MaxBodyChunk))
		return binary.BigEndian.AppendUint16(append(payload, byte(CodeGetBodyChunk)), length)
	})
}

// AppendCPong appends a CPONG, the answer to a CPING.
func AppendCPong(out []byte) []byte {
	return appendPacket(out, FromContainer, func(payload []byte) []byte { return append(payload, byte(CodeCPong)) })
}
