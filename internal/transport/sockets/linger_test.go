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

// narrow connects with a small receive buffer, so that a large answer stays with the server until it is read.
func narrow(t *testing.T, l *Loop) net.Conn {
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4<<10) })
	}}
	c, err := d.Dial("tcp", l.Addr(0).String())
	require.NoError(t, err)
	closeAtEnd(t, c)
	return c
}

// arrived returns once so many bytes lie unread at the server's end of a connection.
func arrived(c net.Conn, n int) {
	want := c.LocalAddr().(*net.TCPAddr)
	for {
		for fd := range 1024 {
			sa, err := unix.Getpeername(fd)
			if a, ok := sa.(*unix.SockaddrInet4); err != nil || !ok || a.Port != want.Port {
				continue
			}
			have, err := unix.IoctlGetInt(fd, unix.TIOCINQ)
			if err == nil && have >= n {
				return
			}
		}
		runtime.Gosched()
	}
}

// A connection that is closed from this side while bytes of its peer's are on their way, in each of the ways in which
// that happens: the peer gets all that was written, and then its end, not a reset; what came late is consumed by
// nobody. The bytes are made to arrive behind the last read and before the close, as the loop stands still meanwhile.
func TestBytesThatArriveInTheMomentOfAClose(t *testing.T) {
	const late = "x"                            // would be answered if it were taken
	answer := bytes.Repeat([]byte("r"), 60<<10) // all of them fit into what a peer may leave unread
	for name, by := range map[string]struct {
		says  string // before; each byte has an answer
		close func(*handClock, *Loop, *echoSession)
	}{
		"by its session": {"v", func(_ *handClock, _ *Loop, session *echoSession) { session.conn.Close() }},
		"as the loop ends": {"v", func(clock *handClock, loop *Loop, _ *echoSession) {
			loop.Shutdown(clock.Now() + microtime.Second)
		}},
		"as it is evicted": {"vi", func(_ *handClock, loop *Loop, _ *echoSession) { loop.SetLimits(0, 0) }},
		"as unidentified":  {"i", func(*handClock, *Loop, *echoSession) {}}, // the end of the turn closes it
	} {
		t.Run(name, func(t *testing.T) {
			handler, clock := &echo{answer: answer, dials: make(chan *echoSession, 1)}, &handClock{}
			loop := startOnly(t, handler, clock)
			conn := narrow(t, loop)
			_, err := conn.Write([]byte(by.says))
			require.NoError(t, err)
			first := make([]byte, 1)
			_, err = io.ReadFull(conn, first)
			require.NoError(t, err)
			session := <-handler.dials
			clock.now.Add(int64(transport.IdentificationTimeout)) // also past BusyLately
			require.NoError(t, loop.Execute(func() {
				_, err := conn.Write([]byte(late))
				require.NoError(t, err)
				arrived(conn, len(late))
				by.close(clock, loop, session)
			}))
			<-handler.closed // the close is done, over bytes that lay unread
			got, err := io.ReadAll(conn)
			require.NoError(t, err, "a reset in place of an end")
			require.Equal(t, len(by.says)*len(answer), 1+len(got), "the answers are whole, and nothing follows")
			require.NoError(t, conn.Close())
			loop.Stop()
			require.NoError(t, loop.Wait())
		})
	}
}

// startOnly starts a loop that the test stops, and tells its first session.
func startOnly(t *testing.T, e *echo, c Clock) *Loop {
	e.closed = make(chan string, 100)
	l, err := Start(Options{
		Options: transport.Options{MaxConns: 9, Logf: t.Logf},
		Clock:   c,
		Listen:  []string{"127.0.0.1:0"},
	}, tells{e}, func(*transport.Loop) {})
	require.NoError(t, err)
	return l
}

// tells passes on each session.
type tells struct{ *echo }

func (e tells) Accept(i int, l transport.Conn) transport.Session {
	s := e.echo.Accept(i, l).(*echoSession)
	e.dials <- s
	return s
}

// A message that makes no sense ends its connection; the error that tells so arrives, whatever came behind the message.
func TestErrorArrivesBeforeTheEnd(t *testing.T) {
	handler := &fussy{answer: bytes.Repeat([]byte("e"), 100<<10)}
	loop, err := Start(Options{
		Options: transport.Options{MaxConns: 9, Logf: t.Logf},
		Clock:   microtime.NewClock(),
		Listen:  []string{"127.0.0.1:0"},
	}, handler, func(*transport.Loop) {})
	require.NoError(t, err)
	conn := narrow(t, loop)
	set := make(chan struct{})
	require.NoError(t, loop.Execute(func() {
		defer close(set)
		handler.wait = func() {
			_, err := conn.Write([]byte("more"))
			require.NoError(t, err)
			arrived(conn, len("more"))
		}
	}))
	<-set
	_, err = conn.Write([]byte("?"))
	require.NoError(t, err)
	got, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.Equal(t, handler.answer, got)
	require.NoError(t, conn.Close())
	loop.Stop()
	require.NoError(t, loop.Wait())
	require.Equal(t, 1, handler.taken)
}

// fussy takes nothing: it tells an error.
type fussy struct {
	answer []byte
	wait   func()
	conn   transport.Conn
	taken  int
}

func (f *fussy) Accept(_ int, l transport.Conn) transport.Session {
	f.conn = l
	return f
}
func (f *fussy) Turn(microtime.Time) microtime.Time { return microtime.Never }
func (f *fussy) Closed()                            {}
func (f *fussy) Idle() bool                         { return true }
func (f *fussy) Receive(in []byte) (int, error) {
	f.taken++
	f.wait()
	f.conn.Write(f.answer)
	return len(in), errors.New("no sense")
}

// A connection that was shut and that its peer never closes goes after a while, and so does one on which bytes come
// without end; until then at most maxLingeringConns of them stand beside those that are in use.
func TestLingeringIsBounded(t *testing.T) {
	const most, over = 2, 4
	handler, clock := &echo{answer: []byte("r")}, &handClock{}
	loop := startWith(t, handler, Options{Options: transport.Options{MaxConns: most}, Clock: clock})
	open := func() int {
		n := make(chan int, 1)
		require.NoError(t, loop.Execute(func() { n <- loop.driver.engine.CountConnections() }))
		return <-n
	}
	var all []net.Conn
	for i := range 4 * over { // each has the oldest evicted, which is unidentified
		conn := connect(t, loop)
		works(t, conn, handler.answer)
		all = append(all, conn)
		require.LessOrEqual(t, open(), most+over)
		require.Equal(t, min(i+1, most+over), open(), "those that were shut are left to their peers while there is room")
	}
	clock.move(t, loop, transport.LingerTimeout)
	clock.move(t, loop, 0)
	require.Equal(t, most, open())
	// Without end.
	last, shut := all[len(all)-1], all[len(all)-2]
	works(t, last, handler.answer)
	require.NoError(t, loop.Execute(func() { loop.SetLimits(1, 0) }))
	works(t, last, handler.answer)
	for {
		if _, err := shut.Write(make([]byte, 64<<10)); err != nil {
			break
		}
	}
	works(t, last, handler.answer)
}

// Connections that wait to be accepted as a listener ends are accepted, and get their answers; whoever comes later is
// refused. All of them come while the loop stands still, so that none has been accepted; a batch of them no longer
// waits when it goes on.
func TestNobodyIsLeftInTheQueue(t *testing.T) {
	const waiting = 3*acceptBatch + 1
	handler := &echo{answer: []byte("r")}
	loop := start(t, handler, 99)
	queue := func() int {
		fd, err := loop.driver.engine.DupListener("tcp", loop.driver.options.Listen[0])
		require.NoError(t, err)
		defer closeCopy(fd)
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		require.NoError(t, err)
		return int(info.Unacked) // of a listener: how many wait
	}
	var conns []net.Conn
	done := make(chan struct{})
	require.NoError(t, loop.Execute(func() {
		for range waiting {
			conn := connect(t, loop)
			_, err := conn.Write([]byte("x"))
			require.NoError(t, err)
			conns = append(conns, conn)
		}
		require.Equal(t, waiting, queue())
		loop.CloseListener(0, func() { close(done) })
		require.Equal(t, waiting-acceptBatch, queue())
	}))
	<-done
	for _, conn := range conns {
		got := make([]byte, 1)
		_, err := io.ReadFull(conn, got)
		require.NoError(t, err)
	}
	_, err := net.Dial("tcp", loop.Addr(0).String())
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
	works(t, conns[0], handler.answer)
}
