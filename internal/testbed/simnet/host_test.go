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

// program answers every byte; 'v' vouches, 'i' says that nothing is owed, 'h' waits for the rest of a message.
type program struct {
	answer []byte
	closed []string
	turn   func(now microtime.Time)
}

type session struct {
	p    *program
	link transport.Conn
	idle bool
}

func (p *program) Accept(_ int, l transport.Conn) transport.Session { return &session{p: p, link: l} }
func (p *program) Turn(now microtime.Time) microtime.Time {
	if p.turn != nil {
		p.turn(now)
	}
	return microtime.Never
}
func (s *session) Closed()    { s.p.closed = append(s.p.closed, s.link.Remote()) }
func (s *session) Idle() bool { return s.idle }
func (s *session) Receive(in []byte) (int, error) {
	for i, b := range in {
		switch b {
		case 'v':
			s.link.MarkIdentified()
		case 'i':
			s.idle = true
		case 'h':
			return i, nil
		case '!':
			return i, fmt.Errorf("no such thing")
		}
		s.link.Write(s.p.answer)
	}
	return len(in), nil
}

// peer is a client on the virtual network.
type peer struct {
	e     *simnet.Stream
	got   bytes.Buffer
	ended bool
}

func (p *peer) Received(_ *simnet.Stream, in []byte) { p.got.Write(in) }
func (p *peer) EOF(e *simnet.Stream)                 { p.ended = true; e.Close() }
func (p *peer) Reset(*simnet.Stream)                 { p.ended = true }

// rig is a program on a host, with the guards of transport on the virtual clock.
type rig struct {
	t    *testing.T
	w    *simnet.World
	net  *simnet.Net
	p    *program
	host *simnet.Host
	n    int
}

func newRig(t *testing.T, o transport.Options) *rig {
	env := &rig{t: t, w: simnet.NewWorld(3), p: &program{answer: []byte("r")}}
	env.net = simnet.NewNet(env.w, simnet.Quality{Latency: microtime.Millisecond})
	n := env.net.Node("s0")
	n.Boot()
	o.Logf = t.Logf
	env.host = simnet.NewHost(n, simnet.HostConfig{
		Options: o,
		Handler: env.p,
		Begin:   func(*transport.Loop) {},
		Rand:    env.w.Fork(3, "s0"),
		Cost:    simnet.Cost{Turn: 20, KB: 10},
	})
	require.NoError(t, env.host.Listen("s0/x", 0))
	return env
}

func (r *rig) connect() *peer {
	n := r.net.Node(fmt.Sprintf("c%d", r.n))
	r.n++
	n.Boot()
	p := &peer{}
	n.Dial("s0/x", func(e *simnet.Stream, err error) {
		require.NoError(r.t, err)
		p.e = e
		e.SetHandler(p)
	})
	r.after(10 * microtime.Millisecond)
	require.NotNil(r.t, p.e)
	return p
}

func (r *rig) after(d microtime.Time) { r.w.Run(r.w.Now() + d) }

func (r *rig) says(p *peer, what string) {
	p.got.Reset()
	p.e.Write([]byte(what))
	r.after(10 * microtime.Millisecond)
}

// The same lines guard here as on sockets: strangers go when their time is up, and who has sent something valid stays.
func TestStrangersGoOnTheVirtualClock(t *testing.T) {
	r := newRig(t, transport.Options{MaxConns: 9})
	known, silent, half := r.connect(), r.connect(), r.connect()
	r.says(known, "v")
	r.says(half, "h")
	r.after(transport.IdentificationTimeout)
	require.True(t, silent.ended)
	require.True(t, half.ended)
	r.after(100 * transport.IdentificationTimeout)
	require.False(t, known.ended)
}

func TestRoomIsMadeOnTheVirtualClock(t *testing.T) {
	r := newRig(t, transport.Options{MaxConns: 3})
	busy, idle, stranger := r.connect(), r.connect(), r.connect()
	r.says(busy, "v")
	r.says(idle, "vi")
	r.after(transport.EvictionGrace)
	for _, next := range []*peer{stranger, idle} {
		r.says(r.connect(), "v")
		require.True(t, next.ended)
	}
	late := r.connect()
	r.after(10 * microtime.Millisecond)
	require.True(t, late.ended, "all are in use")
	require.False(t, busy.ended)
}

// Guards the memory: a peer that asks and does not read is cut off by what it leaves unread, and harms no other.
func TestSlowReaderIsCutOnTheVirtualClock(t *testing.T) {
	r := newRig(t, transport.Options{MaxConns: 9})
	r.p.answer = make([]byte, 32<<10)
	slow, other := r.connect(), r.connect()
	slow.e.PauseReading(true)
	for range 12 {
		r.says(slow, "v")
	}
	require.Len(t, r.p.closed, 1)
	r.says(other, "v")
	require.Equal(t, 32<<10, other.got.Len())
}

// A link that is refused is tried again after waits that grow, until its peer listens; one that was dropped is not.
func TestRedialOnTheVirtualClock(t *testing.T) {
	env := newRig(t, transport.Options{MaxConns: 9})
	w0 := env.net.Node("w0")
	w0.Boot()
	var tries []microtime.Time
	env.net.Tap = func(v simnet.Event) {
		if v.Kind == simnet.ConnectAttempted && v.Addr == "w0/x" {
			tries = append(tries, v.At)
		}
	}
	opened := 0
	var drop func()
	require.NoError(t, env.host.Loop().Execute(func() {
		drop = env.host.Loop().Dial("w0/x", func(l transport.Conn) transport.Session {
			opened++
			return &session{p: env.p, link: l}
		})
	}))
	env.after(5 * microtime.Second)
	require.Greater(t, len(tries), 10)
	for i := 2; i < len(tries); i++ {
		require.LessOrEqual(t, tries[i]-tries[i-1], 510*microtime.Millisecond)
		require.GreaterOrEqual(t, tries[i]-tries[i-1]+10, tries[i-1]-tries[i-2])
	}
	_, err := w0.Listen("w0/x", simnet.Listener{Accept: func(*simnet.Stream) simnet.Handler { return &peer{} }})
	require.NoError(t, err)
	env.after(microtime.Second)
	require.Equal(t, 1, opened)
	drop()
	n := len(tries)
	env.after(5 * microtime.Second)
	require.Len(t, tries, n)
}

// A process that is killed in the middle of a turn has sent nothing of what it wrote in it, as that goes out at the
// turn's end; one that is killed while it flushes has sent what went before.
func TestKilledInTheMiddleOfATurn(t *testing.T) {
	for calls, want := range map[int]int{1: 0, 2: 0, 3: 0, 4: 0, 5: 0, 6: 1, 7: 2} {
		r := newRig(t, transport.Options{MaxConns: 9})
		a, b, c := r.connect(), r.connect(), r.connect()
		gone := false
		r.host.KillIn(calls, func() { gone = true })
		for _, p := range []*peer{a, b, c} { // all are read in one turn, then the turn's end, then three writes
			p.e.Write([]byte("v"))
		}
		r.after(microtime.Second)
		require.True(t, gone, calls)
		require.Equal(t, want, a.got.Len()+b.got.Len()+c.got.Len(), "killed at call %d", calls)
		require.True(t, a.ended && b.ended && c.ended)
	}
}

// A program that stands still goes on with all that came meanwhile, in one turn.
func TestPause(t *testing.T) {
	r := newRig(t, transport.Options{MaxConns: 9})
	p := r.connect()
	r.host.Pause(r.w.Now() + 2*microtime.Second)
	for range 5 {
		r.says(p, "v")
	}
	require.Zero(t, p.got.Len())
	turns := r.host.Turns()
	r.after(2 * microtime.Second)
	require.Equal(t, 5, p.got.Len())
	require.Equal(t, turns+1, r.host.Turns())
}
