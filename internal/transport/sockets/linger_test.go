package sockets

import (
	"bytes"
	"errors"
	"io"
	"net"
	"runtime"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"pewterline/internal/microtime"
	"pewterline/internal/transport"
)

// connectWithSmallBuffer connects with a small receive buffer, so that most of a large response stays buffered at the
// server until the test reads it.
func connectWithSmallBuffer(t *testing.T, loop *Loop) net.Conn {
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4<<10) })
	}}
	conn, err := dialer.Dial("tcp", loop.Addr(0).String())
	require.NoError(t, err)
	closeAtEnd(t, conn)
	return conn
}

// awaitUnread waits until n bytes are unread at the server's side of a connection. The server is in this process, so
// its socket is found among the process's descriptors.
func awaitUnread(conn net.Conn, n int) {
	local := conn.LocalAddr().(*net.TCPAddr)
	for {
		for fd := range 1024 {
			peer, err := unix.Getpeername(fd)
			if addr, ok := peer.(*unix.SockaddrInet4); err != nil || !ok || addr.Port != local.Port {
				continue
			}
			unread, err := unix.IoctlGetInt(fd, unix.TIOCINQ)
			if err == nil && unread >= n {
				return
			}
		}
		runtime.Gosched()
	}
}

// Guards against a reset, by which the peer loses written responses, when bytes of the peer arrive just before this
// side closes the connection. The peer must get all responses and then an end of file, and the late bytes are
// discarded. The test sends them from a function on the loop, so that they arrive after the loop's last read and before
// the close.
func TestBytesReceivedDuringClose(t *testing.T) {
	const late = "x" // would get a response if a session consumed it
	// All responses of a case fit into the limit of unread bytes.
	response := bytes.Repeat([]byte("r"), 60<<10)
	for name, tc := range map[string]struct {
		requests string // sent before the close; each byte gets a response
		close    func(*manualClock, *Loop, *echoSession)
	}{
		"by its session": {"v", func(_ *manualClock, _ *Loop, session *echoSession) { session.conn.Close() }},
		"by a shutdown": {"v", func(clock *manualClock, loop *Loop, _ *echoSession) {
			loop.Shutdown(clock.Now() + microtime.Second)
		}},
		"by an eviction":                {"vi", func(_ *manualClock, loop *Loop, _ *echoSession) { loop.SetLimits(0, 0) }},
		"by the identification timeout": {"i", func(*manualClock, *Loop, *echoSession) {}}, // at the end of the turn
	} {
		t.Run(name, func(t *testing.T) {
			handler, clock := &echoHandler{response: response, sessions: make(chan *echoSession, 1)}, &manualClock{}
			loop := startUnmanagedLoop(t, handler, clock)
			conn := connectWithSmallBuffer(t, loop)
			_, err := conn.Write([]byte(tc.requests))
			require.NoError(t, err)
			first := make([]byte, 1)
			_, err = io.ReadFull(conn, first)
			require.NoError(t, err)
			session := <-handler.sessions
			clock.now.Add(int64(transport.IdentificationTimeout)) // longer than EvictionGrace, too
			require.NoError(t, loop.Execute(func() {
				_, err := conn.Write([]byte(late))
				require.NoError(t, err)
				awaitUnread(conn, len(late))
				tc.close(clock, loop, session)
			}))
			<-handler.closed // the connection is closed while bytes are unread
			got, err := io.ReadAll(conn)
			require.NoError(t, err, "a reset instead of an end of file")
			require.Equal(t, len(tc.requests)*len(response), 1+len(got), "the responses are complete, and nothing follows")
			require.NoError(t, conn.Close())
			loop.Stop()
			require.NoError(t, loop.Wait())
		})
	}
}

// startUnmanagedLoop starts a loop that the test must stop. Each accepted session is sent to the handler's sessions.
func startUnmanagedLoop(t *testing.T, handler *echoHandler, clock Clock) *Loop {
	handler.closed = make(chan string, 100)
	loop, err := Start(Options{
		Options: transport.Options{MaxConns: 9, Logf: t.Logf},
		Clock:   clock,
		Listen:  []string{"127.0.0.1:0"},
	}, sessionReporter{handler}, func(*transport.Loop) {})
	require.NoError(t, err)
	return loop
}

// sessionReporter is an echoHandler that sends each accepted session to its sessions.
type sessionReporter struct{ *echoHandler }

func (r sessionReporter) Accept(listener int, conn transport.Conn) transport.Session {
	session := r.echoHandler.Accept(listener, conn).(*echoSession)
	r.sessions <- session
	return session
}

// A malformed message closes its connection. The peer gets the complete error response, even if more bytes arrive after
// the message.
func TestErrorResponsePrecedesClose(t *testing.T) {
	handler := &rejectingHandler{response: bytes.Repeat([]byte("e"), 100<<10)}
	loop, err := Start(Options{
		Options: transport.Options{MaxConns: 9, Logf: t.Logf},
		Clock:   microtime.NewClock(),
		Listen:  []string{"127.0.0.1:0"},
	}, handler, func(*transport.Loop) {})
	require.NoError(t, err)
	conn := connectWithSmallBuffer(t, loop)
	configured := make(chan struct{})
	require.NoError(t, loop.Execute(func() {
		defer close(configured)
		handler.beforeResponse = func() {
			_, err := conn.Write([]byte("more"))
			require.NoError(t, err)
			awaitUnread(conn, len("more"))
		}
	}))
	<-configured
	_, err = conn.Write([]byte("?"))
	require.NoError(t, err)
	got, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.Equal(t, handler.response, got)
	require.NoError(t, conn.Close())
	loop.Stop()
	require.NoError(t, loop.Wait())
	require.Equal(t, 1, handler.receiveCalls)
}

// rejectingHandler is a Handler and its only Session, which rejects each message with an error response.
type rejectingHandler struct {
	response       []byte
	beforeResponse func()
	conn           transport.Conn
	receiveCalls   int
}

func (h *rejectingHandler) Accept(_ int, conn transport.Conn) transport.Session {
	h.conn = conn
	return h
}
func (h *rejectingHandler) Turn(microtime.Time) microtime.Time { return microtime.Never }
func (h *rejectingHandler) Closed()                            {}
func (h *rejectingHandler) Idle() bool                         { return true }
func (h *rejectingHandler) Receive(in []byte) (int, error) {
	h.receiveCalls++
	h.beforeResponse()
	h.conn.Write(h.response)
	return len(in), errors.New("malformed message")
}

// A half-closed connection is closed after a timeout if its peer never closes it, and also if its peer keeps sending.
// Until then at most maxLingeringConns such connections are open beside those in use.
func TestLingeringConnectionLimits(t *testing.T) {
	const maxConns, maxLingering = 2, 4
	handler, clock := &echoHandler{response: []byte("r")}, &manualClock{}
	loop := startLoopWith(t, handler, Options{Options: transport.Options{MaxConns: maxConns}, Clock: clock})
	open := func() int {
		count := make(chan int, 1)
		require.NoError(t, loop.Execute(func() { count <- loop.driver.engine.CountConnections() }))
		return <-count
	}
	var conns []net.Conn
	for i := range 4 * maxLingering { // at the limit, each evicts the oldest, which is unidentified
		conn := connect(t, loop)
		requireServed(t, conn, handler.response)
		conns = append(conns, conn)
		require.LessOrEqual(t, open(), maxConns+maxLingering)
		require.Equal(t, min(i+1, maxConns+maxLingering), open(), "evicted connections linger up to the limit")
	}
	clock.advance(t, loop, transport.LingerTimeout)
	clock.advance(t, loop, 0)
	require.Equal(t, maxConns, open())
	// A peer that keeps sending on a half-closed connection is disconnected.
	last, evicted := conns[len(conns)-1], conns[len(conns)-2]
	requireServed(t, last, handler.response)
	require.NoError(t, loop.Execute(func() { loop.SetLimits(1, 0) }))
	requireServed(t, last, handler.response)
	for {
		if _, err := evicted.Write(make([]byte, 64<<10)); err != nil {
			break
		}
	}
	requireServed(t, last, handler.response)
}

// When a listener is closed, the connections in its accept queue are accepted and served, and later ones are refused.
// The test opens the connections from a function on the loop, so that gnet accepts none of them before CloseListener
// accepts the first batch.
func TestCloseListenerAcceptsQueue(t *testing.T) {
	const queued = 3*acceptBatch + 1
	handler := &echoHandler{response: []byte("r")}
	loop := startLoop(t, handler, 99)
	queueLength := func() int {
		fd, err := loop.driver.engine.DupListener("tcp", loop.driver.options.Listen[0])
		require.NoError(t, err)
		defer closeDuplicate(fd)
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		require.NoError(t, err)
		return int(info.Unacked) // for a listener, the length of its accept queue
	}
	var conns []net.Conn
	done := make(chan struct{})
	require.NoError(t, loop.Execute(func() {
		for range queued {
			conn := connect(t, loop)
			_, err := conn.Write([]byte("x"))
			require.NoError(t, err)
			conns = append(conns, conn)
		}
		require.Equal(t, queued, queueLength())
		loop.CloseListener(0, func() { close(done) })
		require.Equal(t, queued-acceptBatch, queueLength())
	}))
	<-done
	for _, conn := range conns {
		got := make([]byte, 1)
		_, err := io.ReadFull(conn, got)
		require.NoError(t, err)
	}
	_, err := net.Dial("tcp", loop.Addr(0).String())
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
	requireServed(t, conns[0], handler.response)
}
