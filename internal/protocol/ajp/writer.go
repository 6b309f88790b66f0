package ajp

import "encoding/binary"

// appendPacket appends a packet. The function appendPayload appends the payload to its argument.
func appendPacket(out []byte, from Sender, appendPayload func([]byte) []byte) []byte {
	start := len(out)
	out = binary.BigEndian.AppendUint16(out, uint16(from))
	out = appendPayload(append(out, 0, 0)) // the length is filled in below
	binary.BigEndian.PutUint16(out[start+2:], uint16(len(out)-start-headerSize))
	return out
}

func appendString(out []byte, s string) []byte {
	out = binary.BigEndian.AppendUint16(out, uint16(len(s)))
	return append(append(out, s...), 0)
}

func appendHeaders(out []byte, headers []Header, table []string) []byte {
	out = binary.BigEndian.AppendUint16(out, uint16(len(headers)))
	for _, header := range headers {
		if code, known := headerCode(table, header.Name); known {
			out = binary.BigEndian.AppendUint16(out, code)
		} else {
			out = appendString(out, header.Name)
		}
		out = appendString(out, header.Value)
	}
	return out
}

func appendBool(out []byte, v bool) []byte {
	if v {
		return append(out, 1)
	}
	return append(out, 0)
}
