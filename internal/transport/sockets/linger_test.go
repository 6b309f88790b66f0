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
	t.Cleanup(func() { c.Close() })
	return c
}

// arrived returns once so many bytes lie unread at the server's end of a connection.
func arrived(t *testing.T, c net.Conn, n int) {
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

// A connection that is closed from this side while bytes of its peer's are on their way, in each of the ways in which that
// happens: the peer gets all that was written, and then its end, not a reset; what came late is taken by nobody. The bytes are made
// to arrive behind the last read and before the close, as the loop stands still meanwhile.
func TestBytesThatArriveInTheMomentOfAClose(t *testing.T) {
	const late = "x"                            // would be answered if it were taken
	answer := bytes.Repeat([]byte("r"), 60<<10) // all of them fit into what a peer may leave unread
	for name, by := range map[string]struct {
		says  string // before; each byte has an answer
		close func(*handClock, *Loop, *echoSession)
	}{
		"by its session":   {"v", func(_ *handClock, _ *Loop, s *echoSession) { s.link.Close() }},
		"as the loop ends": {"v", func(c *handClock, l *Loop, _ *echoSession) { l.Shutdown(c.Now() + microtime.Second) }},
		"to make room":     {"vi", func(_ *handClock, l *Loop, _ *echoSession) { l.SetLimits(0, 0) }},
		"as a stranger":    {"i", func(*handClock, *Loop, *echoSession) {}}, // by the end of the turn, whose time is past its own
	} {
		t.Run(name, func(t *testing.T) {
			e, clock := &echo{answer: answer, dials: make(chan *echoSession, 1)}, &handClock{}
			l := startOnly(t, e, clock)
			c := narrow(t, l)
			_, err := c.Write([]byte(by.says))
			require.NoError(t, err)
			first := make([]byte, 1)
			_, err = io.ReadFull(c, first)
			require.NoError(t, err)
			s := <-e.dials
			clock.now.Add(int64(transport.IdentificationTimeout)) // also past BusyLately
			require.NoError(t, l.Execute(func() {
				_, err := c.Write([]byte(late))
				require.NoError(t, err)
				arrived(t, c, len(late))
				by.close(clock, l, s)
			}))
			<-e.closed // the close is done, over bytes that lay unread
			got, err := io.ReadAll(c)
			require.NoError(t, err, "a reset in place of an end")
			require.Equal(t, len(by.says)*len(answer), 1+len(got), "the answers are whole, and nothing follows")
			require.NoError(t, c.Close())
			l.Stop()
			require.NoError(t, l.Wait())
		})
	}
}

// startOnly starts a loop that the test stops, and tells its first session.
func startOnly(t *testing.T, e *echo, c Clock) *Loop {
	e.closed = make(chan string, 100)
	l, err := Start(Options{Options: transport.Options{MaxConns: 9, Logf: t.Logf}, Clock: c, Listen: []string{"127.0.0.1:0"}}, tells{e}, func(*transport.Loop) {})
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
	e := &fussy{answer: bytes.Repeat([]byte("e"), 100<<10)}
	l, err := Start(Options{Options: transport.Options{MaxConns: 9, Logf: t.Logf}, Clock: microtime.NewClock(), Listen: []string{"127.0.0.1:0"}}, e, func(*transport.Loop) {})
	require.NoError(t, err)
	c := narrow(t, l)
	set := make(chan struct{})
	require.NoError(t, l.Execute(func() {
		defer close(set)
		e.wait = func() {
			_, err := c.Write([]byte("more"))
			require.NoError(t, err)
			arrived(t, c, len("more"))
		}
	}))
	<-set
	_, err = c.Write([]byte("?"))
	require.NoError(t, err)
	got, err := io.ReadAll(c)
	require.NoError(t, err)
	require.Equal(t, e.answer, got)
	require.NoError(t, c.Close())
	l.Stop()
	require.NoError(t, l.Wait())
	require.Equal(t, 1, e.taken)
}

// fussy takes nothing: it tells an error.
type fussy struct {
	answer []byte
	wait   func()
	link   transport.Conn
	taken  int
}

func (f *fussy) Accept(_ int, l transport.Conn) transport.Session {
	f.link = l
	return f
}
func (f *fussy) Turn(microtime.Time) microtime.Time { return microtime.Never }
func (f *fussy) Closed()                            {}
func (f *fussy) Idle() bool                         { return true }
func (f *fussy) Receive(in []byte) (int, error) {
	f.taken++
	f.wait()
	f.link.Write(f.answer)
	return len(in), errors.New("no sense")
}

// A connection that was shut and that its peer never closes goes after a while, and so does one on which bytes come without
// end; until then at most lingerConns of them stand beside those that are in use.
func TestLingeringIsBounded(t *testing.T) {
	const most, over = 2, 4
	e, clock := &echo{answer: []byte("r")}, &handClock{}
	l := startWith(t, e, Options{Options: transport.Options{MaxConns: most}, Clock: clock})
	open := func() int {
		n := make(chan int, 1)
		require.NoError(t, l.Execute(func() { n <- l.d.engine.CountConnections() }))
		return <-n
	}
	var all []net.Conn
	for i := range 4 * over { // each makes room by the oldest, a stranger
		c := connect(t, l)
		works(t, c, e.answer)
		all = append(all, c)
		require.LessOrEqual(t, open(), most+over)
		require.Equal(t, min(i+1, most+over), open(), "those that were shut are left to their peers while there is room")
	}
	clock.move(t, l, transport.LingerTimeout)
	clock.move(t, l, 0)
	require.Equal(t, most, open())
	// Without end.
	last, shut := all[len(all)-1], all[len(all)-2]
	works(t, last, e.answer)
	require.NoError(t, l.Execute(func() { l.SetLimits(1, 0) }))
	works(t, last, e.answer)
	for {
		if _, err := shut.Write(make([]byte, 64<<10)); err != nil {
			break
		}
	}
	works(t, last, e.answer)
}

// Connections that wait to be accepted as a listener ends are taken up, and get their answers; whoever comes later is refused.
// All of them come while the loop stands still, so that none has been accepted; a batch of them no longer waits when it goes on.
func TestNobodyIsLeftInTheQueue(t *testing.T) {
	const waiting = 3*acceptBatch + 1
	e := &echo{answer: []byte("r")}
	l := start(t, e, 99)
	queue := func() int {
		fd, err := l.d.engine.DupListener("tcp", l.d.opts.Listen[0])
		require.NoError(t, err)
		defer unix.Close(fd)
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		require.NoError(t, err)
		return int(info.Unacked) // of a listener: how many wait
	}
	var cs []net.Conn
	done := make(chan struct{})
	require.NoError(t, l.Execute(func() {
		for range waiting {
			c := connect(t, l)
			_, err := c.Write([]byte("x"))
			require.NoError(t, err)
			cs = append(cs, c)
		}
		require.Equal(t, waiting, queue())
		l.CloseListener(0, func() { close(done) })
		require.Equal(t, waiting-acceptBatch, queue())
	}))
	<-done
	for _, c := range cs {
		got := make([]byte, 1)
		_, err := io.ReadFull(c, got)
		require.NoError(t, err)
	}
	_, err := net.Dial("tcp", l.Addr(0).String())
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
	works(t, cs[0], e.answer)
}
