package gossip

import (
	"encoding/binary"
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"pewterline/internal/decide/loadbalancer"
	"pewterline/internal/microtime"
)

func message(facts int) Message {
	m := Message{Name: "e1", Uptime: 5 * microtime.Second, WantsReply: true, Peers: []Peer{{"e2", "127.0.0.1:7000"}}}
	for i := range facts {
		m.Observations = append(m.Observations, loadbalancer.Observation{Endpoint: fmt.Sprintf("s%d", i), Kind: loadbalancer.TypicalLatency, Value: 1234.5, Evidence: 3,
			Age: microtime.Time(i) * microtime.Millisecond, Source: "e1", Hops: 1})
	}
	return m
}

func TestMessagesReadBack(t *testing.T) {
	for _, n := range []int{0, 1, 800} {
		p, err := Append(nil, message(n))
		require.NoError(t, err)
		for cut := range len(p) - 1 {
			if cut%97 != 0 {
				continue
			}
			_, n, err := Parse(p[:cut])
			require.NoError(t, err)
			require.Zero(t, n)
		}
		m, size, err := Parse(append(p, 1, 2, 3))
		require.NoError(t, err)
		require.Equal(t, len(p), size)
		require.Equal(t, message(n), m)
	}
}

func frame(t *testing.T, v any) []byte {
	body, err := cbor.Marshal(v)
	require.NoError(t, err)
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...)
}

// Another version is refused, unknown fields are passed over, and lists that are too long cost nothing.
func TestBounds(t *testing.T) {
	m, _, err := Parse(frame(t, map[int]any{1: Version, 2: "e9", 3: 10, 99: map[string]any{"later": []int{1, 2}}}))
	require.NoError(t, err)
	require.Equal(t, Message{Name: "e9", Uptime: 10 * microtime.Millisecond}, m)
	many := make([]map[int]any, MaxObservations+1)
	for i := range many {
		many[i] = map[int]any{1: "s", 2: 1, 4: 1.0, 5: 1, 6: "x", 7: 1}
	}
	for name, bad := range map[string][]byte{
		"version":        frame(t, map[int]any{1: 2, 2: "e9"}),
		"facts":          frame(t, map[int]any{1: Version, 5: many}),
		"elements":       frame(t, map[int]any{1: Version, 5: make([]int, 4*MaxObservations+1)}),
		"peers":          frame(t, map[int]any{1: Version, 6: make([]Peer, MaxPeers+1)}),
		"twice":          {0, 0, 0, 5, 0xa2, 1, 1, 1, 1},
		"no map":         frame(t, "hello"),
		"length 0":       {0, 0, 0, 0},
		"length endless": {0xff, 0xff, 0xff, 0xff},
		"cut":            {0, 0, 0, 2, 0xa1, 1},
	} {
		_, n, err := Parse(bad)
		require.ErrorIs(t, err, ErrMalformedFrame, name)
		require.Zero(t, n)
	}
	m, _, err = Parse(frame(t, map[int]any{1: Version, 3: int64(1) << 62, 5: []map[int]any{{1: "s", 2: 1, 4: 1.0, 5: -77, 6: "x", 7: 1}}}))
	require.NoError(t, err)
	require.Positive(t, m.Uptime)
	require.Error(t, loadbalancer.ValidateObservation(m.Observations[0]), "the age stays out of bounds")
	p, err := Append(nil, message(MaxObservations+500))
	require.NoError(t, err)
	m, _, err = Parse(p)
	require.NoError(t, err)
	require.Len(t, m.Observations, MaxObservations)
}

func FuzzParse(f *testing.F) {
	p, _ := Append(nil, message(2))
	f.Add(p)
	f.Fuzz(func(t *testing.T, in []byte) {
		m, n, err := Parse(in)
		require.LessOrEqual(t, n, len(in))
		if err == nil && n > 0 {
			_, err = Append(nil, m)
			require.NoError(t, err)
		}
	})
}
