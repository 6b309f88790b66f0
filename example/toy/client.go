package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"time"

	"pewterline/internal/frontend"
	"pewterline/internal/protocol/ajp"
	"pewterline/internal/protocol/thrift"
)

const (
	requestTenant = "hill-estate"
	requestBody   = "three baskets"
)

// sendThrift sends a request as a proxy does, and prints the payload of the response.
func sendThrift(addr, class, idempotencyKey string) error {
	fields := []thrift.Field{
		{Name: frontend.FieldClass, Value: class},
		{Name: frontend.FieldAttemptID, Value: fmt.Sprintf("%016x", rand.Uint64())},
		{Name: frontend.FieldSentAt, Value: strconv.FormatInt(time.Now().UnixMilli(), 10)},
		{Name: frontend.FieldCallerID, Value: "1"},
		{Name: frontend.FieldTenant, Value: requestTenant},
		{Name: frontend.FieldQueuedKB, Value: "24"},
		{Name: frontend.FieldRank, Value: "0.5"},
	}
	if idempotencyKey != "" {
		fields = append(fields, thrift.Field{Name: frontend.FieldIdempotencyKey, Value: idempotencyKey})
	}
	return exchange(addr, thrift.AppendCall(nil, 1, fields, []byte(requestBody)), thrift.SplitFrame,
		func(payload []byte) bool {
			fmt.Printf("%q\n", payload)
			return true
		})
}

// sendAJP sends a request as a web server does, and prints the response.
func sendAJP(addr, class, idempotencyKey string) error {
	body := []byte(requestBody)
	request := ajp.AppendForwardRequest(nil, ajp.Request{
		Method:     "POST",
		URI:        "/" + class,
		RemoteAddr: "127.0.0.1",
		Headers: []ajp.Header{
			{Name: "content-length", Value: strconv.Itoa(len(body))},
			{Name: "X-Relay-Tenant", Value: requestTenant},
			{Name: "X-Relay-Once", Value: idempotencyKey},
		},
	})
	request, _ = ajp.AppendBodyChunk(request, body) // the body fits into one packet
	split := func(received []byte) ([]byte, int, error) { return ajp.SplitPacket(received, ajp.FromContainer) }
	return exchange(addr, request, split, printResponse)
}

// printResponse prints a packet of a response. It returns true after the last packet.
func printResponse(payload []byte) bool {
	response, err := ajp.ParseResponse(payload)
	if err != nil {
		fmt.Println(err)
		return true
	}
	switch response.Code {
	case ajp.CodeSendHeaders:
		fmt.Println(response.Status, response.Headers)
	case ajp.CodeSendBodyChunk:
		fmt.Printf("%s\n", response.BodyChunk)
	default: // other packets have nothing to print
	}
	return response.Code == ajp.CodeEndResponse
}

// errLastMessage makes readMessages return after the last message.
var errLastMessage = errors.New("last message received")

// exchange sends a request on a new connection, and calls show for each message of the response until show returns
// true.
func exchange(addr string, request []byte, split func([]byte) ([]byte, int, error), show func([]byte) bool) error {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }() // the response has been read; an error adds nothing
	if _, err := conn.Write(request); err != nil {
		return err
	}
	err = readMessages(conn, func(received []byte) (int, error) {
		message, size, err := split(received)
		if message != nil && show(message) {
			return size, errLastMessage
		}
		return size, err
	})
	if errors.Is(err, errLastMessage) {
		return nil
	}
	return err
}
