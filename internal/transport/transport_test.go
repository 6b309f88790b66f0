package transport

import (
	"bytes"
	"io"
	"net"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"pewterline/internal/micro"
)

// echo answers each byte by as many as it has; its sessions report their end.
type echo struct {
	answer []byte
	closed chan string
	dials  chan *echoSession
}

type echoSession struct {
	e    *echo
	link Link
}

func (e *echo) Accept(_ int, l Link) Session { return &echoSession{e, l} }
func (e *echo) Turn(micro.Time) micro.Time   { return micro.Never }
func (s *echoSession) Closed()               { s.e.closed <- s.link.Remote() }
func (s *echoSession) Receive(in []byte) (int, error) {
	for range in {
		s.link.Write(s.e.answer)
	}
	return len(in), nil
}

func start(t *testing.T, e *echo, most int) *Loop {
	e.closed, e.dials = make(chan string, 100), make(chan *echoSession, 100)
	l, err := Start(Options{Listen: []string{"127.0.0.1:0"}, MaxConns: most, Clock: micro.NewClock(), Logf: t.Logf}, e, func(*Loop) {})
	require.NoError(t, err)
	t.Cleanup(func() {
		l.Stop()
		require.NoError(t, l.Wait())
	})
	return l
}

func connect(t *testing.T, l *Loop) net.Conn {
	c, err := net.Dial("tcp", l.Addr(0).String())
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	return c
}

func works(t *testing.T, c net.Conn, want []byte) {
	_, err := c.Write([]byte("x"))
	require.NoError(t, err)
	got := make([]byte, len(want))
	_, err = io.ReadFull(c, got)
	require.NoError(t, err)
	require.Equal(t, want, got)
}

// Guards against a caller that connects as soon as the port listens: the program behind the loop has begun
// before any session. The port is held, without listening, so that the caller can dial it from the start.
func TestBeginComesFirst(t *testing.T) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	require.NoError(t, err)
	defer unix.Close(fd)
	require.NoError(t, unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1))
	require.NoError(t, unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	addr := localAddr(fd).String()
	called := make(chan net.Conn)
	go func() {
		for {
			if c, err := net.Dial("tcp", addr); err == nil {
				called <- c
				return
			}
		}
	}()
	e := &eager{echo: echo{answer: []byte("r"), closed: make(chan string, 10)}}
	l, err := Start(Options{Listen: []string{addr}, MaxConns: 2, Clock: micro.NewClock(), Logf: t.Logf}, e, func(*Loop) { e.begun = true })
	require.NoError(t, err)
	c := <-called
	works(t, c, e.answer) // its session is there
	require.NoError(t, c.Close())
	<-e.closed
	l.Stop()
	require.NoError(t, l.Wait())
	require.False(t, e.early, "a session before the beginning")
}

// eager notes a session that comes before the program has begun.
type eager struct {
	echo
	begun, early bool
}

func (e *eager) Accept(i int, l Link) Session {
	e.early = e.early || !e.begun
	return e.echo.Accept(i, l)
}

// Guards the memory: a peer that asks and never reads is cut off, and harms no other.
func TestSlowReaderIsCut(t *testing.T) {
	e := &echo{answer: bytes.Repeat([]byte("r"), 32<<10)}
	l := start(t, e, 10)
	slow, other := connect(t, l), connect(t, l)
	for cut := false; !cut; {
		_, _ = slow.Write([]byte("x")) // fails once it is cut
		select {
		case who := <-e.closed:
			require.Equal(t, slow.LocalAddr().String(), who)
			cut = true
		default:
		}
	}
	works(t, other, e.answer)
}

// Guards the descriptors: a connection too many is closed at once, and the others go on. gnet would stop
// listening for good if the system had to refuse it one.
func TestConnectionsAreBounded(t *testing.T) {
	e := &echo{answer: []byte("r")}
	l := start(t, e, 2)
	one, two := connect(t, l), connect(t, l)
	works(t, one, e.answer)
	works(t, two, e.answer)
	_, err := connect(t, l).Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	works(t, one, e.answer)
	one.Close()
	<-e.closed
	works(t, connect(t, l), e.answer)
}

// A link that is refused is dialled again until its peer listens.
func TestDialUntilItOpens(t *testing.T) {
	e := &echo{answer: []byte("r")}
	l := start(t, e, 2)
	// A port that is taken, and refuses until it listens.
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	require.NoError(t, err)
	require.NoError(t, unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	addr := localAddr(fd).String()
	require.NoError(t, l.Execute(func() {
		l.Dial(addr, func(k Link) Session {
			s := &echoSession{e, k}
			e.dials <- s
			return s
		})
	}))
	_, err = net.Dial("tcp", addr)
	require.Error(t, err)
	require.NoError(t, unix.Listen(fd, 1))
	file := os.NewFile(uintptr(fd), "listener")
	defer file.Close()
	ln, err := net.FileListener(file)
	require.NoError(t, err)
	defer ln.Close()
	c, err := ln.Accept()
	require.NoError(t, err)
	<-e.dials
	works(t, c, e.answer)
	require.NoError(t, c.Close())
	<-e.closed
}

// Guards a change of configuration: a link that was dropped while it was dialled is closed as it opens, and its
// address is not dialled again.
func TestDroppedDialNeverOpens(t *testing.T) {
	l := start(t, &echo{answer: []byte("r")}, 2)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	var peer net.Conn
	opened := make(chan struct{}, 1)
	require.NoError(t, l.Execute(func() {
		drop := l.Dial(ln.Addr().String(), func(k Link) Session {
			opened <- struct{}{}
			return &echoSession{l.handler.(*echo), k}
		})
		peer, err = ln.Accept() // the loop is here, so the link cannot be open on it yet
		drop()
	}))
	done := make(chan struct{})
	require.NoError(t, l.Execute(func() { close(done) }))
	<-done
	require.NoError(t, err)
	defer peer.Close()
	_, err = peer.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	require.Empty(t, opened)
}

// Reports go to the address set last; one that makes no sense leaves the one before.
func TestDatagramsMove(t *testing.T) {
	l := start(t, &echo{}, 2)
	peers := make([]net.PacketConn, 2)
	for i := range peers {
		var err error
		peers[i], err = net.ListenPacket("udp", "127.0.0.1:0")
		require.NoError(t, err)
		defer peers[i].Close()
		failed := make(chan error, 2)
		require.NoError(t, l.Execute(func() {
			failed <- l.Datagrams(peers[i].LocalAddr().String())
			failed <- l.Datagrams("nowhere")
			l.Send([]byte{byte(i)})
		}))
		require.NoError(t, <-failed)
		require.Error(t, <-failed)
		got := make([]byte, 2)
		n, _, err := peers[i].ReadFrom(got)
		require.NoError(t, err)
		require.Equal(t, []byte{byte(i)}, got[:n])
	}
}

// What a session leaves in its buffer stays there, compacted, until it is whole.
func TestCompact(t *testing.T) {
	c := &Conn{buf: []byte("abcdef")}
	c.compact(2)
	require.Equal(t, "cdef", string(c.buf))
	c.compact(4)
	require.Empty(t, c.buf)
	c.buf = make([]byte, keepBuffer+1)
	c.compact(len(c.buf))
	require.Nil(t, c.buf)
}
