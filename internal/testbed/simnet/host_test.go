package simnet_test

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/microtime"
	"pewterline/internal/testbed/simnet"
	"pewterline/internal/transport"
)

// program is a transport.Handler that replies to every byte it receives. Four bytes do more: 'v' identifies the
// connection, 'i' makes the session idle, 'h' starts a message that stays incomplete, and '!' is an error.
type program struct {
	reply  []byte
	closed []string // addresses of the peers whose sessions were closed
	turn   func(now microtime.Time)
}

type session struct {
	program *program
	conn    transport.Conn
	idle    bool
}

func (p *program) Accept(_ int, conn transport.Conn) transport.Session {
	return &session{program: p, conn: conn}
}

func (p *program) Turn(now microtime.Time) microtime.Time {
	if p.turn != nil {
		p.turn(now)
	}
	return microtime.Never
}
func (s *session) Closed()    { s.program.closed = append(s.program.closed, s.conn.Remote()) }
func (s *session) Idle() bool { return s.idle }
func (s *session) Receive(in []byte) (int, error) {
	for i, b := range in {
		switch b {
		case 'v':
			s.conn.MarkIdentified()
		case 'i':
			s.idle = true
		case 'h':
			return i, nil
		case '!':
			return i, fmt.Errorf("invalid byte")
		}
		s.conn.Write(s.program.reply)
	}
	return len(in), nil
}

// client is a connection to the program over the simulated network.
type client struct {
	stream   *simnet.Stream
	received bytes.Buffer
	ended    bool
}

func (c *client) Received(_ *simnet.Stream, in []byte) { c.received.Write(in) }
func (c *client) EOF(stream *simnet.Stream)            { c.ended = true; stream.Close() }
func (c *client) Reset(*simnet.Stream)                 { c.ended = true }

// environment is a program on a host of a simulated network. Its transport loop runs on the simulated clock.
type environment struct {
	t       *testing.T
	clock   *simnet.Clock
	net     *simnet.Net
	program *program
	host    *simnet.Host
	clients int // connected so far
}

func newEnvironment(t *testing.T, options transport.Options) *environment {
	env := &environment{t: t, clock: simnet.NewClock(3), program: &program{reply: []byte("r")}}
	env.net = simnet.NewNet(env.clock, simnet.Quality{Latency: microtime.Millisecond})
	server := env.net.Node("s0")
	server.Boot()
	options.Logf = t.Logf
	env.host = simnet.NewHost(server, simnet.HostConfig{
		Options: options,
		Handler: env.program,
		Begin:   func(*transport.Loop) {},
		Rand:    env.clock.Fork(3, "s0"),
		Cost:    simnet.Cost{Turn: 20, KB: 10},
	})
	require.NoError(t, env.host.Listen("s0/x", 0))
	return env
}

func (e *environment) connect() *client {
	node := e.net.Node(fmt.Sprintf("c%d", e.clients))
	e.clients++
	node.Boot()
	connected := &client{}
	node.Dial("s0/x", func(stream *simnet.Stream, err error) {
		require.NoError(e.t, err)
		connected.stream = stream
		stream.SetHandler(connected)
	})
	e.advance(10 * microtime.Millisecond)
	require.NotNil(e.t, connected.stream)
	return connected
}

// advance runs the simulation for a duration.
func (e *environment) advance(duration microtime.Time) {
	e.clock.Run(e.clock.Now() + duration)
}

// send sends bytes from a client and collects the replies to them.
func (e *environment) send(from *client, text string) {
	from.received.Reset()
	from.stream.Write([]byte(text))
	e.advance(10 * microtime.Millisecond)
}

// As on real sockets, connections that send nothing valid within the identification timeout are closed; identified
// connections stay open.
func TestUnidentifiedConnectionsTimeOut(t *testing.T) {
	env := newEnvironment(t, transport.Options{MaxConns: 9})
	identified, silent, incomplete := env.connect(), env.connect(), env.connect()
	env.send(identified, "v")
	env.send(incomplete, "h")
	env.advance(transport.IdentificationTimeout)
	require.True(t, silent.ended)
	require.True(t, incomplete.ended)
	env.advance(100 * transport.IdentificationTimeout)
	require.False(t, identified.ended)
}

// At the connection limit, a new connection evicts an unidentified one first and then an idle one. If all are in use,
// the new one is closed.
func TestEvictionAtTheConnectionLimit(t *testing.T) {
	env := newEnvironment(t, transport.Options{MaxConns: 3})
	busy, idle, unidentified := env.connect(), env.connect(), env.connect()
	env.send(busy, "v")
	env.send(idle, "vi")
	env.advance(transport.EvictionGrace)
	for _, evicted := range []*client{unidentified, idle} {
		env.send(env.connect(), "v")
		require.True(t, evicted.ended)
	}
	rejected := env.connect()
	env.advance(10 * microtime.Millisecond)
	require.True(t, rejected.ended, "all are in use")
	require.False(t, busy.ended)
}

// A peer that sends requests and does not read the replies must not fill the memory: its connection is closed once too
// many bytes are unread. Other connections are not affected.
func TestSlowReaderIsDisconnected(t *testing.T) {
	env := newEnvironment(t, transport.Options{MaxConns: 9})
	env.program.reply = make([]byte, 32<<10)
	slow, other := env.connect(), env.connect()
	slow.stream.PauseReading(true)
	for range 12 {
		env.send(slow, "v")
	}
	require.Len(t, env.program.closed, 1)
	env.send(other, "v")
	require.Equal(t, 32<<10, other.received.Len())
}

// A refused dial is retried with increasing delays until the peer listens. After the dial is cancelled there
// are no further attempts.
func TestRedialBackoff(t *testing.T) {
	env := newEnvironment(t, transport.Options{MaxConns: 9})
	pool := env.net.Node("w0")
	pool.Boot()
	var attempts []microtime.Time
	env.net.Tap = func(event simnet.Event) {
		if event.Kind == simnet.ConnectAttempted && event.Addr == "w0/x" {
			attempts = append(attempts, event.At)
		}
	}
	opened := 0
	var cancel func()
	require.NoError(t, env.host.Loop().Execute(func() {
		cancel = env.host.Loop().Dial("w0/x", func(conn transport.Conn) transport.Session {
			opened++
			return &session{program: env.program, conn: conn}
		})
	}))
	env.advance(5 * microtime.Second)
	require.Greater(t, len(attempts), 10)
	for i := 2; i < len(attempts); i++ {
		require.LessOrEqual(t, attempts[i]-attempts[i-1], 510*microtime.Millisecond)
		require.GreaterOrEqual(t, attempts[i]-attempts[i-1]+10, attempts[i-1]-attempts[i-2])
	}
	_, err := pool.Listen("w0/x", simnet.Listener{Accept: func(*simnet.Stream) simnet.Handler { return &client{} }})
	require.NoError(t, err)
	env.advance(microtime.Second)
	require.Equal(t, 1, opened)
	cancel()
	before := len(attempts)
	env.advance(5 * microtime.Second)
	require.Len(t, attempts, before)
}

// A turn's writes are sent at its end: a process that is killed earlier in the turn has sent none of them, and one that
// is killed while it sends them has sent those before the kill.
func TestKillInTheMiddleOfATurn(t *testing.T) {
	for calls, want := range map[int]int{1: 0, 2: 0, 3: 0, 4: 0, 5: 0, 6: 1, 7: 2} {
		env := newEnvironment(t, transport.Options{MaxConns: 9})
		a, b, c := env.connect(), env.connect(), env.connect()
		killed := false
		env.host.KillIn(calls, func() { killed = true })
		for _, from := range []*client{a, b, c} { // all are read in one turn, then the turn's end, then three writes
			from.stream.Write([]byte("v"))
		}
		env.advance(microtime.Second)
		require.True(t, killed, calls)
		require.Equal(t, want, a.received.Len()+b.received.Len()+c.received.Len(), "killed at call %d", calls)
		require.True(t, a.ended && b.ended && c.ended)
	}
}

// A paused program processes all bytes that arrived during the pause in one turn after it.
func TestPausedProgramCatchesUpInOneTurn(t *testing.T) {
	env := newEnvironment(t, transport.Options{MaxConns: 9})
	from := env.connect()
	env.host.Pause(env.clock.Now() + 2*microtime.Second)
	for range 5 {
		env.send(from, "v")
	}
	require.Zero(t, from.received.Len())
	turns := env.host.Turns()
	env.advance(2 * microtime.Second)
	require.Equal(t, 5, from.received.Len())
	require.Equal(t, turns+1, env.host.Turns())
}
