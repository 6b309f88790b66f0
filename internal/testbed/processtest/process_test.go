package processtest

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pewterline/internal/testbed/faults"
)

// Upgrades and deaths at fixed moments, under load: no intake runs twice in a life, none is refused once it has run, and what
// is served is what was run. Where intakes call a vault that has its troubles, no call that may have run is made again. Longer hunts
// are pewterline-sim's.
func TestFixedScripts(t *testing.T) {
	text, err := os.ReadFile("../../config/testdata/config.json")
	require.NoError(t, err)
	var file struct{ Settings json.RawMessage }
	require.NoError(t, json.Unmarshal(text, &file))
	program, err := Build("../../..", t.TempDir())
	require.NoError(t, err)
	for seed := uint64(1); seed <= 6; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := DrawScript(seed, 4)
			read, err := faults.Parse(s.String())
			require.NoError(t, err)
			require.Equal(t, s, read, "a script is its text")
			calls := seed > 4
			out, err := Play(s, Options{Program: program, Settings: file.Settings, Calls: calls})
			require.NoError(t, err)
			require.Equal(t, calls, out.Calls > 0)
			require.Empty(t, out.Violations)
			require.Positive(t, out.Served)
			require.Greater(t, out.Starts, 1)
		})
	}
}

// pair is a connection through a relay, both of its ends.
func pair(t *testing.T) (r *Relay, a, b net.Conn) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	r, err = NewRelay(ln.Addr().String())
	require.NoError(t, err)
	t.Cleanup(r.Close)
	a, err = net.Dial("tcp", r.Addr())
	require.NoError(t, err)
	b, err = ln.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _, _ = a.Close(), b.Close() })
	for _, c := range []net.Conn{a, b} {
		require.NoError(t, c.SetReadDeadline(time.Now().Add(Patience)))
	}
	return r, a, b
}

func write(t *testing.T, c net.Conn, text string) {
	_, err := c.Write([]byte(text))
	require.NoError(t, err)
}

func reads(t *testing.T, c net.Conn, want string) {
	got := make([]byte, len(want))
	_, err := io.ReadFull(c, got)
	require.NoError(t, err)
	require.Equal(t, want, string(got))
}

// Each fault does what its name says, in its direction alone.
func TestRelay(t *testing.T) {
	r, a, b := pair(t)
	write(t, a, "one")
	reads(t, b, "one")
	r.Hold(Forward)
	write(t, a, "two")
	write(t, b, "back")
	reads(t, a, "back")
	require.NoError(t, b.SetReadDeadline(time.Now().Add(20*time.Millisecond)))
	_, err := b.Read(make([]byte, 1))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded, "held")
	require.NoError(t, b.SetReadDeadline(time.Now().Add(Patience)))
	r.Heal()
	reads(t, b, "two")
	r.Drop(Backward)
	write(t, b, "lost")
	write(t, a, "three")
	reads(t, b, "three")
	require.NoError(t, a.SetReadDeadline(time.Now().Add(20*time.Millisecond)))
	_, err = a.Read(make([]byte, 1))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded, "lost")
	require.NoError(t, a.SetReadDeadline(time.Now().Add(Patience)))
	r.Heal()
	began := time.Now()
	r.AddLatency(30*time.Millisecond, Forward)
	write(t, a, "late")
	reads(t, b, "late")
	require.GreaterOrEqual(t, time.Since(began), 30*time.Millisecond)
	r.Heal()
	r.Cut(2, Forward)
	write(t, a, "four")
	reads(t, b, "fo")
	_, err = b.Read(make([]byte, 1))
	require.Error(t, err, "cut in the middle")
	_, err = r.Apply(faults.Fault{Kind: faults.TrafficSurge})
	require.ErrorContains(t, err, "no fault of a relay")
}
