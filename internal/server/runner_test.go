package server

import (
	"errors"
	"io"
	"net"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/protocol/ajp"
	"pewterline/internal/protocol/thrift"
)

// ajpBackendStandIn is a server that speaks AJP and answers with the path and the body that it got. It reports
// each request it runs.
func ajpBackendStandIn(t *testing.T, ran chan<- string) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if err := serveBackend(c, ran); err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
					t.Errorf("backend: %v", err)
				}
			}()
		}
	}()
	return ln.Addr().String()
}

func serveBackend(c net.Conn, ran chan<- string) error {
	p := &peer{c: c, split: func(in []byte) ([]byte, int, error) { return ajp.SplitPacket(in, ajp.FromServer) }}
	for {
		payload, err := p.next()
		if err != nil {
			return err
		}
		if ajp.Code(payload[0]) == ajp.CodeCPing {
			if _, err := c.Write(ajp.AppendCPong(nil)); err != nil {
				return err
			}
			continue
		}
		req, err := ajp.ParseForwardRequest(payload)
		if err != nil {
			return err
		}
		if req.Secret != "vine" {
			return errors.New("no secret")
		}
		var body []byte
		for int64(len(body)) < req.ContentLength {
			if len(body) > 0 {
				if _, err := c.Write(ajp.AppendGetBodyChunk(nil, int(req.ContentLength)-len(body))); err != nil {
					return err
				}
			}
			if payload, err = p.next(); err != nil {
				return err
			}
			chunk, err := ajp.ParseBodyChunk(payload)
			if err != nil {
				return err
			}
			body = append(body, chunk...)
		}
		ran <- req.URI
		result := append([]byte(req.URI+" "), body...)
		out := ajp.AppendSendHeaders(nil, 200, "OK", []ajp.Header{{Name: "Content-Length", Value: strconv.Itoa(len(result))}})
		if _, err := c.Write(ajp.AppendEndResponse(ajp.AppendResponseBody(out, result), true)); err != nil {
			return err
		}
	}
}

// The AJP runner on real sockets, in place of the worker pool: requests by both protocols, a kept connection,
// and one intake by both.
func TestLoopbackRunner(t *testing.T) {
	ran := make(chan string, 100)
	cfg := testConfig(t, "")
	cfg.AJP.BackendAddress, cfg.AJP.BackendSecret, cfg.AJP.BackendPath, cfg.AJP.BackendConnections = ajpBackendStandIn(t, ran), "vine", "/run", 2
	thriftAddr, ajpAddr, _ := serveLoopback(t, cfg, "")
	desk, office := dial(t, thriftAddr, thrift.SplitFrame), dial(t, ajpAddr, splitContainer)
	sendIntake(desk, "k1")
	require.Contains(t, string(desk.read()), "/run/lot-intake lot")
	forwardIntake(office, "k1")
	require.Equal(t, "/run/lot-intake lot", readOK(office))
	forwardIntake(office, "k2")
	require.Equal(t, "/run/lot-intake lot", readOK(office))
	sendIntake(desk, "k2")
	require.Contains(t, string(desk.read()), "/run/lot-intake lot")
	require.Len(t, ran, 2, "each intake ran once")
}
