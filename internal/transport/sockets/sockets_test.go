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

// echo answers each byte by as many as it has; its sessions report their end.
type echo struct {
	answer []byte
	closed chan string
	dials  chan *echoSession
}

type echoSession struct {
	e    *echo
	conn transport.Conn
	idle bool
}

func (e *echo) Accept(_ int, l transport.Conn) transport.Session { return &echoSession{e: e, conn: l} }
func (e *echo) Turn(microtime.Time) microtime.Time               { return microtime.Never }
func (s *echoSession) Closed()                                   { s.e.closed <- s.conn.Remote() }
func (s *echoSession) Idle() bool                                { return s.idle }
func (s *echoSession) Receive(in []byte) (int, error) {
	for i, b := range in {
		switch b {
		case 'v':
			s.conn.MarkIdentified()
		case 'i':
			s.idle = true
		case 'h': // half a message: it waits for the rest
			s.conn.Write(s.e.answer)
			return i, nil
		}
		s.conn.Write(s.e.answer)
	}
	return len(in), nil
}

// handClock stands still until a test moves it.
type handClock struct{ now atomic.Int64 }

func (c *handClock) Now() microtime.Time { return microtime.Time(c.now.Load()) }

// move sets the clock forward and has the loop take a turn.
func (c *handClock) move(t *testing.T, l *Loop, by microtime.Time) {
	c.now.Add(int64(by))
	done := make(chan struct{})
	require.NoError(t, l.Execute(func() { close(done) }))
	<-done
}

func start(t *testing.T, e *echo, most int) *Loop {
	return startWith(t, e, Options{Options: transport.Options{MaxConns: most}, Clock: microtime.NewClock()})
}

func startWith(t *testing.T, e *echo, o Options) *Loop {
	e.closed, e.dials = make(chan string, 100), make(chan *echoSession, 100)
	o.Listen, o.Logf = []string{"127.0.0.1:0"}, t.Logf
	l, err := Start(o, e, func(*transport.Loop) {})
	require.NoError(t, err)
	t.Cleanup(func() {
		l.Stop()
		require.NoError(t, l.Wait())
	})
	return l
}

// closeAtEnd closes what the test opened, unless the test has.
func closeAtEnd(t *testing.T, closer io.Closer) {
	t.Helper()
	t.Cleanup(func() { _ = closer.Close() }) // the test's own checks are over
}

func connect(t *testing.T, l *Loop) net.Conn {
	c, err := net.Dial("tcp", l.Addr(0).String())
	require.NoError(t, err)
	closeAtEnd(t, c)
	return c
}

func works(t *testing.T, c net.Conn, want []byte) { says(t, c, "x", want) }

func says(t *testing.T, c net.Conn, what string, want []byte) {
	_, err := c.Write([]byte(what))
	require.NoError(t, err)
	got := make([]byte, len(want))
	_, err = io.ReadFull(c, got)
	require.NoError(t, err)
	require.Equal(t, want, got)
}

// nowhere is a datagram socket of which the system told no address.
type nowhere struct{ gnet.Conn }

func (nowhere) Context() any              { return ownSocket{} }
func (nowhere) EventLoop() gnet.EventLoop { return nil }
func (nowhere) LocalAddr() net.Addr       { return nil }

// Guards against a crash in the first moment of the start: the loop's own socket is known by its mark, not by an
// address, which it may lack, and it is no session.
func TestOwnSocketNeedsNoAddress(t *testing.T) {
	begun := 0
	d := &driver{options: Options{Clock: microtime.NewClock()}}
	d.loop = transport.New(transport.Options{Logf: t.Logf}, begins{d}, &echo{}, func(*transport.Loop) { begun++ })
	out, action := d.OnOpen(nowhere{})
	require.Empty(t, out)
	require.Equal(t, gnet.None, action)
	require.Equal(t, 1, begun)
	require.Equal(t, gnet.None, d.OnClose(nowhere{}, nil))
}

// begins is a driver whose loop takes no turns.
type begins struct{ *driver }

func (begins) Queue(func()) error { return nil }

// Guards against a caller that connects as soon as the port listens: the program behind the loop has begun
// before any session. The port is held, without listening, so that the caller can dial it from the start.
func TestBeginComesFirst(t *testing.T) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	require.NoError(t, err)
	defer closeCopy(fd)
	require.NoError(t, unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1))
	require.NoError(t, unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	addr := localAddr(fd).String()
	called := make(chan net.Conn)
	go func() {
		for {
			if conn, err := net.Dial("tcp", addr); err == nil {
				called <- conn
				return
			}
		}
	}()
	handler := &eager{echo: echo{answer: []byte("r"), closed: make(chan string, 10)}}
	loop, err := Start(Options{
		Options: transport.Options{MaxConns: 2, Logf: t.Logf},
		Listen:  []string{addr},
		Clock:   microtime.NewClock(),
	}, handler, func(*transport.Loop) { handler.begun = true })
	require.NoError(t, err)
	conn := <-called
	works(t, conn, handler.answer) // its session is there
	require.NoError(t, conn.Close())
	<-handler.closed
	loop.Stop()
	require.NoError(t, loop.Wait())
	require.False(t, handler.early, "a session before the beginning")
}

// eager notes a session that comes before the program has begun.
type eager struct {
	echo
	begun, early bool
}

func (e *eager) Accept(i int, l transport.Conn) transport.Session {
	e.early = e.early || !e.begun
	return e.echo.Accept(i, l)
}

// Guards the memory: a peer that asks and never reads is cut off, and harms no other.
func TestSlowReaderIsCut(t *testing.T) {
	handler := &echo{answer: bytes.Repeat([]byte("r"), 32<<10)}
	loop := start(t, handler, 10)
	slow, other := connect(t, loop), connect(t, loop)
	for cut := false; !cut; {
		_, _ = slow.Write([]byte("x")) // fails once it is cut
		select {
		case who := <-handler.closed:
			require.Equal(t, slow.LocalAddr().String(), who)
			cut = true
		default:
		}
	}
	works(t, other, handler.answer)
}

func isClosed(t *testing.T, c net.Conn) {
	_, err := c.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}

// Guards the descriptors: a connection too many is closed at once where all others are in use, and they go on.
// gnet would stop listening for good if the system had to refuse it one.
func TestConnectionsAreBounded(t *testing.T) {
	handler := &echo{answer: []byte("r")}
	loop := start(t, handler, 2)
	one, two := connect(t, loop), connect(t, loop)
	says(t, one, "v", handler.answer)
	says(t, two, "v", handler.answer)
	isClosed(t, connect(t, loop))
	works(t, one, handler.answer)
	require.NoError(t, one.Close())
	<-handler.closed
	works(t, connect(t, loop), handler.answer)
}

// Unidentified connections are closed when their time is up: those that have sent nothing valid, or half a message.
// Whoever has sent something valid stays, however quiet.
func TestUnidentifiedConnectionsAreClosed(t *testing.T) {
	handler, clock := &echo{answer: []byte("r")}, &handClock{}
	loop := startWith(t, handler, Options{Options: transport.Options{MaxConns: 9}, Clock: clock})
	proxy, silent := connect(t, loop), connect(t, loop)
	says(t, proxy, "v", handler.answer)
	clock.move(t, loop, transport.IdentificationTimeout/2)
	half := connect(t, loop)
	says(t, half, "h", handler.answer)
	clock.move(t, loop, transport.IdentificationTimeout/2)
	require.Equal(t, silent.LocalAddr().String(), <-handler.closed)
	says(t, half, "h", handler.answer) // trickles on
	clock.move(t, loop, transport.IdentificationTimeout/2)
	require.Equal(t, half.LocalAddr().String(), <-handler.closed)
	clock.move(t, loop, 100*transport.IdentificationTimeout)
	works(t, proxy, handler.answer)
}

// At the limit the oldest unidentified connection is evicted, then the one that has been idle the longest; a
// connection with something open never is.
func TestEviction(t *testing.T) {
	handler, clock := &echo{answer: []byte("r")}, &handClock{}
	loop := startWith(t, handler, Options{Options: transport.Options{MaxConns: 4}, Clock: clock})
	busy, idle, kept, unidentified := connect(t, loop), connect(t, loop), connect(t, loop), connect(t, loop)
	says(t, busy, "v", handler.answer)
	says(t, idle, "vi", []byte("rr"))
	says(t, unidentified, "x", handler.answer)
	clock.move(t, loop, transport.EvictionGrace)
	says(t, kept, "vi", []byte("rr"))
	clock.move(t, loop, transport.EvictionGrace)
	for _, next := range []net.Conn{unidentified, idle, kept} {
		conn := connect(t, loop)
		says(t, conn, "v", handler.answer)
		require.Equal(t, next.LocalAddr().String(), <-handler.closed)
	}
	isClosed(t, connect(t, loop))
	works(t, busy, handler.answer)
}

// Guards the memory of a small machine: where all buffers together hold too much, whoever has the most waiting
// goes first, and the others are served.
func TestBuffersAreBoundedTogether(t *testing.T) {
	handler := &echo{answer: []byte("r")}
	loop := startWith(t, handler, Options{
		Options: transport.Options{MaxConns: 99, MaxBuffered: 128 << 10},
		Clock:   &handClock{},
	})
	other := connect(t, loop)
	works(t, other, handler.answer)
	hoards := map[string]bool{}
	for range 3 {
		conn := connect(t, loop)
		hoards[conn.LocalAddr().String()] = true
		_, err := conn.Write(bytes.Repeat([]byte("h"), 60<<10)) // each within its own bound
		require.NoError(t, err)
	}
	require.Contains(t, hoards, <-handler.closed)
	works(t, other, handler.answer)
}

// Guards the memory against a peer that sends without end what is never taken.
func TestUntakenInputIsBounded(t *testing.T) {
	handler := &echo{answer: []byte("r")}
	loop := start(t, handler, 9)
	conn := connect(t, loop)
	for cut := false; !cut; {
		_, _ = conn.Write(bytes.Repeat([]byte("h"), 32<<10)) // fails once it is cut
		select {
		case <-handler.closed:
			cut = true
		default:
		}
	}
}

// A link that is refused is dialled again until its peer listens.
func TestDialUntilItOpens(t *testing.T) {
	handler := &echo{answer: []byte("r")}
	loop := start(t, handler, 2)
	// A port that is taken, and refuses until it listens.
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	require.NoError(t, err)
	require.NoError(t, unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	addr := localAddr(fd).String()
	require.NoError(t, loop.Execute(func() {
		loop.Dial(addr, func(conn transport.Conn) transport.Session {
			s := &echoSession{e: handler, conn: conn}
			handler.dials <- s
			return s
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
	<-handler.dials
	works(t, conn, handler.answer)
	require.NoError(t, conn.Close())
	<-handler.closed
}

// Guards a change of configuration: a link that was dropped while it was dialled is closed as it opens, and its
// address is not dialled again.
func TestDroppedDialNeverOpens(t *testing.T) {
	handler := &echo{answer: []byte("r")}
	loop := start(t, handler, 2)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	closeAtEnd(t, listener)
	var peer net.Conn
	opened := make(chan struct{}, 1)
	require.NoError(t, loop.Execute(func() {
		drop := loop.Dial(listener.Addr().String(), func(conn transport.Conn) transport.Session {
			opened <- struct{}{}
			return &echoSession{e: handler, conn: conn}
		})
		peer, err = listener.Accept() // the loop is here, so the link cannot be open on it yet
		drop()
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

// Reports go to the address set last; one that makes no sense leaves the one before.
func TestDatagramsMove(t *testing.T) {
	loop := start(t, &echo{}, 2)
	peers := make([]net.PacketConn, 2)
	for i := range peers {
		var err error
		peers[i], err = net.ListenPacket("udp", "127.0.0.1:0")
		require.NoError(t, err)
		closeAtEnd(t, peers[i])
		failed := make(chan error, 2)
		require.NoError(t, loop.Execute(func() {
			failed <- loop.SetDatagramPeer(peers[i].LocalAddr().String())
			failed <- loop.SetDatagramPeer("nowhere")
			loop.SendDatagram([]byte{byte(i)})
		}))
		require.NoError(t, <-failed)
		require.Error(t, <-failed)
		got := make([]byte, 2)
		n, _, err := peers[i].ReadFrom(got)
		require.NoError(t, err)
		require.Equal(t, []byte{byte(i)}, got[:n])
	}
}
