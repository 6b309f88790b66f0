package simnet

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/microtime"
)

// diary notes what an end hears, with the time since the start in milliseconds.
type diary struct {
	w     *World
	text  string
	lines []string
	keep  bool // does not close when its peer does
}

func (d *diary) note(s string) {
	d.lines = append(d.lines, s)
}
func (d *diary) Received(_ *Stream, p []byte) { d.text += string(p) }
func (d *diary) EOF(e *Stream) {
	d.note("eof")
	if !d.keep {
		e.Close()
	}
}
func (d *diary) Reset(*Stream) { d.note("gone") }

// pair is a connection from a to b, both with a diary.
type pair struct {
	w          *World
	net        *Net
	a, b       *Node
	ours       *Stream
	theirs     *Stream
	near, far  *diary
	opened     microtime.Time
	dialledErr error
}

func connected(t *testing.T, q Quality) *pair {
	env := &pair{w: NewWorld(1)}
	env.net = NewNet(env.w, q)
	env.a, env.b = env.net.Node("a"), env.net.Node("b")
	env.a.Boot()
	env.b.Boot()
	env.near, env.far = &diary{w: env.w}, &diary{w: env.w}
	_, err := env.b.Listen("b/x", Listener{Accept: func(e *Stream) Handler { env.theirs = e; return env.far }})
	require.NoError(t, err)
	env.a.Dial("b/x", func(e *Stream, err error) {
		env.ours, env.opened = e, env.w.Since()
		env.dialledErr = err
		e.SetHandler(env.near)
	})
	env.w.Run(Start + microtime.Second)
	require.NoError(t, env.dialledErr)
	return env
}

func (p *pair) after(d microtime.Time) { p.w.Run(p.w.Now() + d) }

func TestStreamsTakeLatencyAndBandwidth(t *testing.T) {
	p := connected(t, Quality{Latency: 10 * microtime.Millisecond, Bandwidth: 1000})
	require.Equal(t, 20*microtime.Millisecond, p.opened, "there and back")
	p.ours.Write([]byte(strings.Repeat("x", 100)))
	p.after(109 * microtime.Millisecond)
	require.Empty(t, p.far.text)
	p.after(microtime.Millisecond)
	require.Len(t, p.far.text, 100)
}

func TestStallLosesNothingAndKeepsOrder(t *testing.T) {
	p := connected(t, Quality{Latency: microtime.Millisecond})
	p.net.Path("b", "a").StalledUntil = p.w.Now() + 20*microtime.Second
	p.ours.Write([]byte("one "))
	p.after(5 * microtime.Second)
	p.ours.Write([]byte("two"))
	p.after(14 * microtime.Second)
	require.Empty(t, p.far.text)
	p.after(2 * microtime.Second)
	require.Equal(t, "one two", p.far.text)
}

func TestCutAtAnyByte(t *testing.T) {
	for cut := range 8 {
		p := connected(t, Quality{Latency: microtime.Millisecond})
		p.ours.CutAfter(cut)
		p.ours.Write([]byte("abcdefghij"))
		p.after(microtime.Second)
		require.Equal(t, "abcdefghij"[:cut], p.far.text)
		require.Equal(t, []string{"gone"}, p.far.lines)
		require.Equal(t, []string{"gone"}, p.near.lines)
		require.Zero(t, p.a.OpenConnections()+p.b.OpenConnections())
	}
}

func TestHalfClosedEndStillReads(t *testing.T) {
	p := connected(t, Quality{Latency: microtime.Millisecond})
	p.far.keep = true
	p.ours.Write([]byte("ask"))
	p.ours.CloseWrite()
	p.after(10 * microtime.Millisecond)
	require.Equal(t, []string{"eof"}, p.far.lines)
	p.theirs.Write([]byte("answer"))
	p.after(10 * microtime.Millisecond)
	require.Equal(t, "answer", p.near.text)
}

func TestCloseWithInputUnreadIsAReset(t *testing.T) {
	p := connected(t, Quality{Latency: microtime.Millisecond})
	p.theirs.PauseReading(true)
	p.ours.Write([]byte("unread"))
	p.after(10 * microtime.Millisecond)
	p.theirs.Close()
	p.after(10 * microtime.Millisecond)
	require.Equal(t, []string{"gone"}, p.near.lines)
}

// A reader that takes nothing leaves the rest with the sender, and gets all of it in the end.
func TestSlowReaderHoldsTheSenderBack(t *testing.T) {
	p := connected(t, Quality{Latency: microtime.Millisecond})
	p.theirs.PauseReading(true)
	p.ours.Write(make([]byte, 3*sendWindow))
	p.after(microtime.Second)
	require.Equal(t, 2*sendWindow, p.ours.Unsent())
	p.theirs.PauseReading(false)
	p.ours.Close()
	p.after(microtime.Second)
	require.Len(t, p.far.text, 3*sendWindow)
	require.Equal(t, []string{"eof"}, p.far.lines)
}

func TestConnectsAreRefusedOrTimeOut(t *testing.T) {
	p := connected(t, Quality{Latency: microtime.Millisecond})
	results := map[string]error{}
	try := func(addr string) {
		p.a.Dial(addr, func(_ *Stream, err error) { results[addr] = err })
		p.after(1100 * microtime.Millisecond)
	}
	try("b/nobody")
	try("nowhere/x")
	p.net.Path("a", "b").LostUntil = p.w.Now() + microtime.Second
	try("b/x")
	require.Equal(t, map[string]error{"b/nobody": ErrRefused, "nowhere/x": ErrTimeout, "b/x": ErrTimeout}, results)
}

// A machine whose table is full takes a connection once there is room; what was sent on it counts from then on.
func TestFullTableWaits(t *testing.T) {
	env := connected(t, Quality{Latency: microtime.Millisecond})
	arrived := 0
	env.net.Tap = func(v Event) {
		if v.Kind == Arrived && v.Node == "b" {
			arrived++
		}
	}
	env.b.SetMaxConnections(1)
	first := env.ours
	env.a.Dial("b/x", func(e *Stream, _ error) { e.Write([]byte("patience")) })
	env.after(microtime.Second)
	require.Zero(t, arrived)
	first.Close()
	env.after(microtime.Second)
	require.Equal(t, 1, arrived)
	require.Contains(t, env.far.text, "patience")
}

func TestKilledProcessAndLostMachine(t *testing.T) {
	p := connected(t, Quality{Latency: microtime.Millisecond})
	p.b.Kill(false)
	p.after(10 * microtime.Millisecond)
	require.Equal(t, []string{"eof"}, p.near.lines)

	p = connected(t, Quality{Latency: microtime.Millisecond})
	p.b.Kill(true)
	p.ours.Write([]byte("anybody?"))
	p.after(10 * microtime.Second)
	require.Empty(t, p.near.lines, "a machine that is gone says nothing")
}

func TestDatagramsAreLostAndDoubled(t *testing.T) {
	env := connected(t, Quality{Latency: microtime.Millisecond})
	got := 0
	_, err := env.b.Listen("b/d", Listener{Datagram: func(string, []byte) { got++ }})
	require.NoError(t, err)
	count := func(loss, double float64) int {
		got = 0
		path := env.net.Path("a", "b")
		path.Loss, path.Duplicate = loss, double
		for range 1000 {
			env.a.SendDatagram("b/d", []byte("x"))
		}
		env.after(microtime.Second)
		return got
	}
	require.Equal(t, 1000, count(0, 0))
	require.Equal(t, 2000, count(0, 1))
	require.Zero(t, count(1, 0))
	require.InDelta(t, 700, count(0.3, 0), 60)
}

// Events of one instant come in the order they were asked for, and a stopped one never.
func TestOrderOfEvents(t *testing.T) {
	w := NewWorld(1)
	var got []int
	for i := range 100 {
		timer := w.At(Start+microtime.Time(i%3)*microtime.Second, func() { got = append(got, i) })
		if i%10 == 9 {
			timer.Stop()
		}
	}
	w.Run(Start + microtime.Time(10)*microtime.Second)
	require.Len(t, got, 90)
	for i := 1; i < len(got); i++ {
		require.True(t, got[i-1]%3 < got[i]%3 || got[i-1]%3 == got[i]%3 && got[i-1] < got[i])
	}
}

func TestWallClocks(t *testing.T) {
	for _, off := range []microtime.Time{0, microtime.Second, -3 * microtime.Second} {
		c := WallClock{Offset: off}
		at := Start + 1234*microtime.Millisecond
		require.Equal(t, at, c.FromUnixMilli(c.UnixMilli(at)))
		require.Equal(t, int64(unixStart)+1234+int64(off/microtime.Millisecond), c.UnixMilli(at))
	}
}
