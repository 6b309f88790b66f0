package main

import (
	"net"
	"strconv"
	"time"

	"pewterline/internal/protocol/ajp"
)

// statusServed is the status of a served request.
const statusServed = 200

// askDesk sends an intake with an idempotency key as an older web front end does, and returns the status of the answer.
func (w *world) askDesk(address, key string) (int, error) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }() // the answer has been read
	if err := conn.SetDeadline(time.Now().Add(answerLimit)); err != nil {
		return 0, err
	}
	body := []byte("a lot of the office")
	packets := ajp.AppendForwardRequest(nil, ajp.Request{
		Method: "POST", URI: "/" + intakeClass, RemoteAddr: "127.0.0.1",
		Headers: []ajp.Header{
			{Name: "content-length", Value: strconv.Itoa(len(body))},
			{Name: "X-Relay-Tenant", Value: "hill-estate"},
			{Name: "X-Relay-Once", Value: key},
		},
	})
	packets, _ = ajp.AppendBodyChunk(packets, body) // the body fits into one packet
	w.notef("sent by AJP to %s: %s key %q", address, intakeClass, key)
	if _, err := conn.Write(packets); err != nil {
		return 0, err
	}
	status, err := readStatus(conn)
	w.notef("answer by AJP: status %d, error %v", status, err)
	return status, err
}

// readStatus reads the packets of a response to its end and returns its status.
func readStatus(conn net.Conn) (status int, err error) {
	var received []byte
	chunk := make([]byte, readSize)
	for {
		payload, size, err := ajp.SplitPacket(received, ajp.FromContainer)
		if err != nil {
			return status, err
		}
		if payload == nil {
			n, err := conn.Read(chunk)
			if err != nil {
				return status, err
			}
			received = append(received, chunk[:n]...)
			continue
		}
		response, err := ajp.ParseResponse(payload)
		if err != nil {
			return status, err
		}
		received = received[size:]
		switch response.Code {
		case ajp.CodeSendHeaders:
			status = response.Status
		case ajp.CodeEndResponse:
			return status, nil
		default: // the other packets hold the body
		}
	}
}
