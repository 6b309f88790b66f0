package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"time"

	"pewterline/internal/protocol/ajp"
	"pewterline/internal/protocol/thrift"
)

func sendThrift(addr, class, once string) error {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return err
	}
	defer c.Close() //nolint:errcheck // only read from here on
	fields := []thrift.Field{{Name: "class", Value: class}, {Name: "id", Value: fmt.Sprintf("%016x", rand.Uint64())},
		{Name: "at", Value: strconv.FormatInt(time.Now().UnixMilli(), 10)}, {Name: "from", Value: "1"},
		{Name: "tenant", Value: "hill-estate"}, {Name: "kb", Value: "24"}, {Name: "rank", Value: "0.5"}}
	if once != "" {
		fields = append(fields, thrift.Field{Name: "once", Value: once})
	}
	if _, err := c.Write(thrift.AppendCall(nil, 1, fields, []byte("three baskets"))); err != nil {
		return err
	}
	return show(c, func(in []byte) ([]byte, int, error) { return thrift.SplitFrame(in) }, func(p []byte) bool {
		fmt.Printf("%q\n", p)
		return true
	})
}

func sendAJP(addr, class, once string) error {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return err
	}
	defer c.Close() //nolint:errcheck // only read from here on
	body := []byte("three baskets")
	out := ajp.AppendForwardRequest(nil, ajp.Request{Method: "POST", URI: "/" + class, RemoteAddr: "127.0.0.1", Headers: []ajp.Header{
		{Name: "content-length", Value: strconv.Itoa(len(body))}, {Name: "X-Relay-Tenant", Value: "hill-estate"},
		{Name: "X-Relay-Once", Value: once}}})
	out, _ = ajp.AppendBodyChunk(out, body)
	if _, err := c.Write(out); err != nil {
		return err
	}
	return show(c, func(in []byte) ([]byte, int, error) { return ajp.SplitPacket(in, ajp.FromContainer) }, func(p []byte) bool {
		r, err := ajp.ParseResponse(p)
		if err != nil {
			fmt.Println(err)
			return true
		}
		switch r.Code {
		case ajp.CodeSendHeaders:
			fmt.Println(r.Status, r.Headers)
		case ajp.CodeSendBodyChunk:
			fmt.Printf("%s\n", r.BodyChunk)
		}
		return r.Code == ajp.CodeEndResponse
	})
}

// errLast ends the reading behind the last message.
var errLast = errors.New("that was the last message")

// show reads messages until last says that there are no more.
func show(conn net.Conn, split func([]byte) ([]byte, int, error), last func([]byte) bool) error {
	err := readMessages(conn, func(in []byte) (int, error) {
		message, n, err := split(in)
		if message != nil && last(message) {
			return n, errLast
		}
		return n, err
	})
	if errors.Is(err, errLast) {
		return nil
	}
	return err
}
