package sockets

import (
	"bytes"
	"io"
	"net"
	"os"
	"sync/atomic"
	"testing"

	"github.com/panjf2000/gnet/v2"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"pewterline/internal/microtime"
	"pewterline/internal/transport"
)

// echoHandler is a Handler whose sessions send its response for each byte that they receive.
type echoHandler struct {
	response []byte
	closed   chan string       // receives the remote address of each session that is closed
	sessions chan *echoSession // receives the sessions of tests that need them
}

type echoSession struct {
	handler *echoHandler
	conn    transport.Conn
	idle    bool
}

func (h *echoHandler) Accept(_ int, conn transport.Conn) transport.Session {
	return &echoSession{handler: h, conn: conn}
}
func (h *echoHandler) Turn(microtime.Time) microtime.Time { return microtime.Never }
func (s *echoSession) Closed()                            { s.handler.closed <- s.conn.Remote() }
func (s *echoSession) Idle() bool                         { return s.idle }
func (s *echoSession) Receive(in []byte) (int, error) {
	for i, b := range in {
		switch b {
		case 'v':
			s.conn.MarkIdentified()
		case 'i':
			s.idle = true
		case 'h': // an incomplete message: it is not consumed
			s.conn.Write(s.handler.response)
			return i, nil
		}
		s.conn.Write(s.handler.response)
	}
	return len(in), nil
}

// manualClock is a Clock that only the test advances.
type manualClock struct{ now atomic.Int64 }

func (c *manualClock) Now() microtime.Time { return microtime.Time(c.now.Load()) }

// advance advances the clock, and waits until the loop has begun a turn.
func (c *manualClock) advance(t *testing.T, loop *Loop, by microtime.Time) {
	c.now.Add(int64(by))
	done := make(chan struct{})
	require.NoError(t, loop.Execute(func() { close(done) }))
	<-done
}

// startLoop starts a loop with a connection limit, which ends with the test.
func startLoop(t *testing.T, handler *echoHandler, maxConns int) *Loop {
	return startLoopWith(t, handler, Options{Options: transport.Options{MaxConns: maxConns}, Clock: microtime.NewClock()})
}

// startLoopWith starts a loop with options, which ends with the test.
func startLoopWith(t *testing.T, handler *echoHandler, options Options) *Loop {
	handler.closed, handler.sessions = make(chan string, 100), make(chan *echoSession, 100)
	options.Listen, options.Logf = []string{"127.0.0.1:0"}, t.Logf
	loop, err := Start(options, handler, func(*transport.Loop) {})
	require.NoError(t, err)
	t.Cleanup(func() {
		loop.Stop()
		require.NoError(t, loop.Wait())
	})
	return loop
}

// closeAtEnd closes closer at the end of the test, unless the test has closed it already.
func closeAtEnd(t *testing.T, closer io.Closer) {
	t.Helper()
	t.Cleanup(func() { _ = closer.Close() }) // the test is over, or has closed it already
}

// connect opens a connection to the loop's first listener.
func connect(t *testing.T, loop *Loop) net.Conn {
	conn, err := net.Dial("tcp", loop.Addr(0).String())
	require.NoError(t, err)
	closeAtEnd(t, conn)
	return conn
}

// requireServed requires that the loop responds on a connection.
func requireServed(t *testing.T, conn net.Conn, want []byte) { exchange(t, conn, "x", want) }

// exchange sends a request and requires the given response.
func exchange(t *testing.T, conn net.Conn, request string, want []byte) {
	_, err := conn.Write([]byte(request))
	require.NoError(t, err)
	got := make([]byte, len(want))
	_, err = io.ReadFull(conn, got)
	require.NoError(t, err)
	require.Equal(t, want, got)
}

// addresslessConn is the socket of captureEventLoop on a system that reports no address for it.
type addresslessConn struct{ gnet.Conn }

func (addresslessConn) Context() any              { return ownSocket{} }
func (addresslessConn) EventLoop() gnet.EventLoop { return nil }
func (addresslessConn) LocalAddr() net.Addr       { return nil }

// Guards against a crash during the start: the loop's own socket is recognized by its context, not by its address,
// which may be missing, and it gets no session.
func TestOwnSocketNeedsNoAddress(t *testing.T) {
	begins := 0
	d := &driver{options: Options{Clock: microtime.NewClock()}}
	d.loop = transport.New(transport.Options{Logf: t.Logf}, noQueueDriver{d}, &echoHandler{},
		func(*transport.Loop) { begins++ })
	out, action := d.OnOpen(addresslessConn{})
	require.Empty(t, out)
	require.Equal(t, gnet.None, action)
	require.Equal(t, 1, begins)
	require.Equal(t, gnet.None, d.OnClose(addresslessConn{}, nil))
}

// noQueueDriver is a driver that never runs queued functions, so that its loop ends no turn.
type noQueueDriver struct{ *driver }

func (noQueueDriver) Queue(func()) error { return nil }

// Guards against a session that starts before the loop's begin function has run, because a peer connects as soon as the
// port listens. The test binds the port without listening, so that its peer can dial the port from the beginning.
func TestBeginPrecedesSessions(t *testing.T) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	require.NoError(t, err)
	defer closeDuplicate(fd)
	require.NoError(t, unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1))
	require.NoError(t, unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	addr := localAddr(fd).String()
	connected := make(chan net.Conn)
	go func() {
		for {
			if conn, err := net.Dial("tcp", addr); err == nil {
				connected <- conn
				return
			}
		}
	}()
	handler := &beginChecker{echoHandler: echoHandler{response: []byte("r"), closed: make(chan string, 10)}}
	loop, err := Start(Options{
		Options: transport.Options{MaxConns: 2, Logf: t.Logf},
		Listen:  []string{addr},
		Clock:   microtime.NewClock(),
	}, handler, func(*transport.Loop) { handler.begun = true })
	require.NoError(t, err)
	conn := <-connected
	requireServed(t, conn, handler.response) // the session exists
	require.NoError(t, conn.Close())
	<-handler.closed
	loop.Stop()
	require.NoError(t, loop.Wait())
	require.False(t, handler.acceptedEarly, "a session was accepted before begin")
}

// beginChecker is an echoHandler that records whether a session was accepted before begin was called.
type beginChecker struct {
	echoHandler
	begun, acceptedEarly bool
}

func (c *beginChecker) Accept(listener int, conn transport.Conn) transport.Session {
	c.acceptedEarly = c.acceptedEarly || !c.begun
	return c.echoHandler.Accept(listener, conn)
}

// Guards the memory against a peer that sends requests and never reads the responses. Its connection is closed, and
// other connections are not affected.
func TestSlowReaderIsDisconnected(t *testing.T) {
	handler := &echoHandler{response: bytes.Repeat([]byte("r"), 32<<10)}
	loop := startLoop(t, handler, 10)
	slow, other := connect(t, loop), connect(t, loop)
	for closed := false; !closed; {
		_, _ = slow.Write([]byte("x")) // fails once the connection is closed
		select {
		case remote := <-handler.closed:
			require.Equal(t, slow.LocalAddr().String(), remote)
			closed = true
		default:
		}
	}
	requireServed(t, other, handler.response)
}

// requireClosed requires that the loop closes the connection.
func requireClosed(t *testing.T, conn net.Conn) {
	_, err := conn.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}

// Guards against running out of descriptors, after which gnet would stop listening for good. A connection over the
// limit is closed at once while all others are in use, and the others continue.
func TestConnectionLimit(t *testing.T) {
	handler := &echoHandler{response: []byte("r")}
	loop := startLoop(t, handler, 2)
	first, second := connect(t, loop), connect(t, loop)
	exchange(t, first, "v", handler.response)
	exchange(t, second, "v", handler.response)
	requireClosed(t, connect(t, loop))
	requireServed(t, first, handler.response)
	require.NoError(t, first.Close())
	<-handler.closed
	requireServed(t, connect(t, loop), handler.response)
}

// Connections without a complete valid message are closed after the identification timeout. Identified connections stay
// open, even if they are idle.
func TestUnidentifiedConnectionsAreClosed(t *testing.T) {
	handler, clock := &echoHandler{response: []byte("r")}, &manualClock{}
	loop := startLoopWith(t, handler, Options{Options: transport.Options{MaxConns: 9}, Clock: clock})
	proxy, silent := connect(t, loop), connect(t, loop)
	exchange(t, proxy, "v", handler.response)
	clock.advance(t, loop, transport.IdentificationTimeout/2)
	half := connect(t, loop)
	exchange(t, half, "h", handler.response)
	clock.advance(t, loop, transport.IdentificationTimeout/2)
	require.Equal(t, silent.LocalAddr().String(), <-handler.closed)
	exchange(t, half, "h", handler.response) // another part of the message
	clock.advance(t, loop, transport.IdentificationTimeout/2)
	require.Equal(t, half.LocalAddr().String(), <-handler.closed)
	clock.advance(t, loop, 100*transport.IdentificationTimeout)
	requireServed(t, proxy, handler.response)
}

// At the limit the oldest unidentified connection is evicted, then the one that has been idle the longest. A connection
// with an open request is never evicted.
func TestEviction(t *testing.T) {
	handler, clock := &echoHandler{response: []byte("r")}, &manualClock{}
	loop := startLoopWith(t, handler, Options{Options: transport.Options{MaxConns: 4}, Clock: clock})
	busy, idle, kept, unidentified := connect(t, loop), connect(t, loop), connect(t, loop), connect(t, loop)
	exchange(t, busy, "v", handler.response)
	exchange(t, idle, "vi", []byte("rr"))
	exchange(t, unidentified, "x", handler.response)
	clock.advance(t, loop, transport.EvictionGrace)
	exchange(t, kept, "vi", []byte("rr"))
	clock.advance(t, loop, transport.EvictionGrace)
	for _, victim := range []net.Conn{unidentified, idle, kept} {
		conn := connect(t, loop)
		exchange(t, conn, "v", handler.response)
		require.Equal(t, victim.LocalAddr().String(), <-handler.closed)
	}
	requireClosed(t, connect(t, loop))
	requireServed(t, busy, handler.response)
}

// Guards the memory of a small machine. When all buffers together exceed the limit, the connection with the most
// buffered bytes is closed, and the others are served.
func TestTotalBufferLimit(t *testing.T) {
	handler := &echoHandler{response: []byte("r")}
	loop := startLoopWith(t, handler, Options{
		Options: transport.Options{MaxConns: 99, MaxBuffered: 128 << 10},
		Clock:   &manualClock{},
	})
	other := connect(t, loop)
	requireServed(t, other, handler.response)
	stalled := map[string]bool{}
	for range 3 {
		conn := connect(t, loop)
		stalled[conn.LocalAddr().String()] = true
		_, err := conn.Write(bytes.Repeat([]byte("h"), 60<<10)) // within the limit of one connection
		require.NoError(t, err)
	}
	require.Contains(t, stalled, <-handler.closed)
	requireServed(t, other, handler.response)
}

// Guards the memory against a peer that keeps sending bytes that its session does not consume.
func TestUnconsumedInputLimit(t *testing.T) {
	handler := &echoHandler{response: []byte("r")}
	loop := startLoop(t, handler, 9)
	conn := connect(t, loop)
	for closed := false; !closed; {
		_, _ = conn.Write(bytes.Repeat([]byte("h"), 32<<10)) // fails once the connection is closed
		select {
		case <-handler.closed:
			closed = true
		default:
		}
	}
}

// A refused dial is retried until the peer listens.
func TestDialRetriesUntilConnected(t *testing.T) {
	handler := &echoHandler{response: []byte("r")}
	loop := startLoop(t, handler, 2)
	// A bound port refuses connections until it listens.
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	require.NoError(t, err)
	require.NoError(t, unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	addr := localAddr(fd).String()
	require.NoError(t, loop.Execute(func() {
		loop.Dial(addr, func(conn transport.Conn) transport.Session {
			session := &echoSession{handler: handler, conn: conn}
			handler.sessions <- session
			return session
		})
	}))
	_, err = net.Dial("tcp", addr)
	require.Error(t, err)
	require.NoError(t, unix.Listen(fd, 1))
	file := os.NewFile(uintptr(fd), "listener")
	closeAtEnd(t, file)
	listener, err := net.FileListener(file)
	require.NoError(t, err)
	closeAtEnd(t, listener)
	conn, err := listener.Accept()
	require.NoError(t, err)
	<-handler.sessions
	requireServed(t, conn, handler.response)
	require.NoError(t, conn.Close())
	<-handler.closed
}

// Guards against a dial that survives a change of configuration: if it is cancelled during the attempt, its connection
// is closed without a session, and the address is not dialled again.
func TestCancelledDialNeverOpens(t *testing.T) {
	handler := &echoHandler{response: []byte("r")}
	loop := startLoop(t, handler, 2)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	closeAtEnd(t, listener)
	var peer net.Conn
	opened := make(chan struct{}, 1)
	require.NoError(t, loop.Execute(func() {
		cancel := loop.Dial(listener.Addr().String(), func(conn transport.Conn) transport.Session {
			opened <- struct{}{}
			return &echoSession{handler: handler, conn: conn}
		})
		peer, err = listener.Accept() // this runs on the loop, so the loop cannot have opened the connection yet
		cancel()
	}))
	done := make(chan struct{})
	require.NoError(t, loop.Execute(func() { close(done) }))
	<-done
	require.NoError(t, err)
	closeAtEnd(t, peer)
	_, err = peer.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	require.Empty(t, opened)
}

// Datagrams go to the peer that was set last. An invalid address leaves the previous peer.
func TestDatagramPeerChange(t *testing.T) {
	loop := startLoop(t, &echoHandler{}, 2)
	peers := make([]net.PacketConn, 2)
	for i := range peers {
		var err error
		peers[i], err = net.ListenPacket("udp", "127.0.0.1:0")
		require.NoError(t, err)
		closeAtEnd(t, peers[i])
		results := make(chan error, 2)
		require.NoError(t, loop.Execute(func() {
			results <- loop.SetDatagramPeer(peers[i].LocalAddr().String())
			results <- loop.SetDatagramPeer("no address")
			loop.SendDatagram([]byte{byte(i)})
		}))
		require.NoError(t, <-results)
		require.Error(t, <-results)
		got := make([]byte, 2)
		n, _, err := peers[i].ReadFrom(got)
		require.NoError(t, err)
		require.Equal(t, []byte{byte(i)}, got[:n])
	}
}
