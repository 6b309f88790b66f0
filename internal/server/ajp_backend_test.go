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

// fakeAJPBackend is an AJP server that answers each request with its path and its body.
type fakeAJPBackend struct {
	t   *testing.T
	ran chan string // The paths of the answered requests.
}

// serve accepts connections until the listener is closed.
func (f *fakeAJPBackend) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			err := f.serveConn(conn)
			if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
				f.t.Errorf("backend: %v", err)
			}
			_ = conn.Close() // The server has closed it, or the test has failed.
		}()
	}
}

func (f *fakeAJPBackend) serveConn(conn net.Conn) error {
	packets := &clientConn{conn: conn, split: func(in []byte) ([]byte, int, error) {
		return ajp.SplitPacket(in, ajp.FromServer)
	}}
	for {
		payload, err := packets.next()
		if err != nil {
			return err
		}
		answer := ajp.AppendCPong(nil)
		if ajp.Code(payload[0]) != ajp.CodeCPing {
			if answer, err = f.run(payload, packets); err != nil {
				return err
			}
		}
		if _, err := conn.Write(answer); err != nil {
			return err
		}
	}
}

// run reads a whole request and returns the packets of its response.
func (f *fakeAJPBackend) run(payload []byte, packets *clientConn) ([]byte, error) {
	request, err := ajp.ParseForwardRequest(payload)
	if err != nil {
		return nil, err
	}
	if request.Secret != "vine" {
		return nil, errors.New("wrong secret")
	}
	body, err := readBody(request.ContentLength, packets)
	if err != nil {
		return nil, err
	}
	f.ran <- request.URI
	result := append([]byte(request.URI+" "), body...)
	length := ajp.Header{Name: "Content-Length", Value: strconv.Itoa(len(result))}
	out := ajp.AppendSendHeaders(nil, 200, "OK", []ajp.Header{length})
	return ajp.AppendEndResponse(ajp.AppendResponseBody(out, result), true), nil
}

// readBody reads a request's body. The client sends the first chunk without a request for it.
func readBody(length int64, packets *clientConn) (body []byte, err error) {
	for int64(len(body)) < length {
		if len(body) > 0 {
			if _, err := packets.conn.Write(ajp.AppendGetBodyChunk(nil, int(length)-len(body))); err != nil {
				return nil, err
			}
		}
		payload, err := packets.next()
		if err != nil {
			return nil, err
		}
		chunk, err := ajp.ParseBodyChunk(payload)
		if err != nil {
			return nil, err
		}
		body = append(body, chunk...)
	}
	return body, nil
}

// Requests run on an AJP server instead of the worker pool, over real sockets: requests by both protocols, reuse of
// connections, and keyed requests that arrive by both protocols and run once.
func TestLoopbackAJPBackend(t *testing.T) {
	backend := &fakeAJPBackend{t: t, ran: make(chan string, 100)}
	listener := listen(t)
	go backend.serve(listener)
	cfg := testConfig(t, "")
	cfg.AJP.BackendAddress, cfg.AJP.BackendPath = listener.Addr().String(), "/run"
	cfg.AJP.BackendSecret, cfg.AJP.BackendConnections = "vine", 2
	thriftAddr, ajpAddr, _ := serveLoopback(t, cfg, "")
	proxy, webServer := dial(t, thriftAddr, thrift.SplitFrame), dial(t, ajpAddr, splitAJP)
	sendIntake(proxy, "k1")
	require.Contains(t, string(proxy.read()), "/run/lot-intake lot")
	forwardIntake(webServer, "k1")
	require.Equal(t, "/run/lot-intake lot", readServed(webServer))
	forwardIntake(webServer, "k2")
	require.Equal(t, "/run/lot-intake lot", readServed(webServer))
	sendIntake(proxy, "k2")
	require.Contains(t, string(proxy.read()), "/run/lot-intake lot")
	require.Len(t, backend.ran, 2, "each keyed request ran once")
}
