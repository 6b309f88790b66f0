package gossip

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"pewterline/internal/decide/loadbalancer"
	"pewterline/internal/microtime"
)

// message returns a message with the given number of observations.
func message(observations int) Message {
	result := Message{
		Name:       "e1",
		Uptime:     5 * microtime.Second,
		WantsReply: true,
		Peers:      []Peer{{"e2", "127.0.0.1:7000"}},
	}
	for i := range observations {
		result.Observations = append(result.Observations, loadbalancer.Observation{
			Endpoint: fmt.Sprintf("s%d", i),
			Kind:     loadbalancer.TypicalLatency,
			Value:    1234.5,
			Evidence: 3,
			Age:      microtime.Time(i) * microtime.Millisecond,
			Source:   "e1",
			Hops:     1,
		})
	}
	return result
}

// A message is decoded from its frame unchanged. A truncated frame is incomplete, and bytes after a frame are ignored.
func TestRoundTrip(t *testing.T) {
	for _, count := range []int{0, 1, 800} {
		t.Run(fmt.Sprintf("%d observations", count), func(t *testing.T) {
			encoded, err := Append(nil, message(count))
			require.NoError(t, err)
			for cut := range len(encoded) - 1 {
				if cut%97 != 0 {
					continue
				}
				_, size, err := Parse(encoded[:cut])
				require.NoError(t, err)
				require.Zero(t, size)
			}
			read, size, err := Parse(append(encoded, 1, 2, 3))
			require.NoError(t, err)
			require.Equal(t, len(encoded), size)
			require.Equal(t, message(count), read)
		})
	}
}

// Guards the format of frames: the bytes were recorded before the program's identifiers were renamed.
func TestRecordedFrames(t *testing.T) {
	full := Message{
		Name:       "e1",
		Uptime:     5*microtime.Second + 1500,
		WantsReply: true,
		Observations: []loadbalancer.Observation{
			{Endpoint: "s0", Kind: loadbalancer.Unreachable, Evidence: 8, Age: 1234567, Source: "e1", Hops: 1},
			{Endpoint: "s1", Kind: loadbalancer.Reachable, Evidence: 2.5, Age: 0, Source: "e2", Hops: 2},
			{Endpoint: "s2", Kind: loadbalancer.TypicalLatency, Value: 1234.5, Evidence: 3, Age: 999, Source: "e1", Hops: 1},
			{Endpoint: "s3", Kind: loadbalancer.Recovered, Evidence: 1, Age: 600 * microtime.Second, Source: "e3", Hops: 4},
		},
		Peers: []Peer{{"e2", "127.0.0.1:7000"}, {"", "10.0.0.3:7000"}},
	}
	// Decoded durations have whole milliseconds.
	fullRead := full
	fullRead.Uptime = 5001 * microtime.Millisecond
	fullRead.Observations = append([]loadbalancer.Observation(nil), full.Observations...)
	fullRead.Observations[0].Age = 1234 * microtime.Millisecond
	fullRead.Observations[2].Age = 0
	small := Message{Name: "e9", Uptime: 10 * microtime.Millisecond}
	for name, tc := range map[string]struct {
		written  Message
		read     Message
		recorded string
	}{
		"every kind": {full, fullRead, "000000aca60101026265310319138904f505" +
			"84a601627330020104fb4020000000000000051904d2066265310701" +
			"a601627331020204fb40040000000000000500066265320702" +
			"a701627332020303fb40934a000000000004fb40080000000000000500066265310701" +
			"a601627333020404fb3ff0000000000000051a000927c0066265330704" +
			"0682a201626532026e3132372e302e302e313a37303030a20160026d31302e302e302e333a37303030"},
		"name and uptime only": {small, small, "00000009a3010102626539030a"},
	} {
		t.Run(name, func(t *testing.T) {
			encoded, err := Append(nil, tc.written)
			require.NoError(t, err)
			require.Equal(t, tc.recorded, hex.EncodeToString(encoded))
			read, size, err := Parse(encoded)
			require.NoError(t, err)
			require.Equal(t, len(encoded), size)
			require.Equal(t, tc.read, read)
		})
	}
}

// frame returns a frame with the CBOR encoding of v as its body.
func frame(t *testing.T, v any) []byte {
	t.Helper()
	body, err := cbor.Marshal(v)
	require.NoError(t, err)
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...)
}

// Unknown fields are ignored. An unsupported version, duplicate keys, invalid lengths and lists that are too long are
// errors.
func TestParseLimits(t *testing.T) {
	later := map[string]any{"later": []int{1, 2}}
	read, _, err := Parse(frame(t, map[int]any{1: Version, 2: "e9", 3: 10, 99: later}))
	require.NoError(t, err)
	require.Equal(t, Message{Name: "e9", Uptime: 10 * microtime.Millisecond}, read)
	many := make([]map[int]any, MaxObservations+1)
	for i := range many {
		many[i] = map[int]any{1: "s", 2: 1, 4: 1.0, 5: 1, 6: "x", 7: 1}
	}
	for name, malformed := range map[string][]byte{
		"version":           frame(t, map[int]any{1: 2, 2: "e9"}),
		"observations":      frame(t, map[int]any{1: Version, 5: many}),
		"elements":          frame(t, map[int]any{1: Version, 5: make([]int, maxArrayElements+1)}),
		"peers":             frame(t, map[int]any{1: Version, 6: make([]Peer, MaxPeers+1)}),
		"duplicate key":     {0, 0, 0, 5, 0xa2, 1, 1, 1, 1},
		"not a map":         frame(t, "hello"),
		"length 0":          {0, 0, 0, 0},
		"length over limit": {0xff, 0xff, 0xff, 0xff},
		"truncated body":    {0, 0, 0, 2, 0xa1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			_, size, err := Parse(malformed)
			require.ErrorIs(t, err, ErrMalformedFrame)
			require.Zero(t, size)
		})
	}
}

// Durations that would overflow are limited, and remain outside the load balancer's limits.
func TestDurationsOutOfRange(t *testing.T) {
	observation := map[int]any{1: "s", 2: 1, 4: 1.0, 5: -77, 6: "x", 7: 1}
	read, _, err := Parse(frame(t, map[int]any{1: Version, 3: int64(1) << 62, 5: []map[int]any{observation}}))
	require.NoError(t, err)
	require.Positive(t, read.Uptime)
	require.Error(t, loadbalancer.ValidateObservation(read.Observations[0]), "the age is still out of range")
}

// Observations beyond the limit are omitted. A message that does not fit in a frame is an error.
func TestAppendLimits(t *testing.T) {
	encoded, err := Append(nil, message(MaxObservations+500))
	require.NoError(t, err)
	read, _, err := Parse(encoded)
	require.NoError(t, err)
	require.Len(t, read.Observations, MaxObservations)

	before := []byte("before")
	after, err := Append(before, Message{Name: strings.Repeat("e", MaxFrameBytes)})
	require.ErrorIs(t, err, ErrTooLarge)
	require.Equal(t, before, after)
}

func FuzzParse(f *testing.F) {
	encoded, _ := Append(nil, message(2))
	f.Add(encoded)
	f.Fuzz(func(t *testing.T, in []byte) {
		read, size, err := Parse(in)
		require.LessOrEqual(t, size, len(in))
		if err == nil && size > 0 {
			_, err = Append(nil, read)
			require.NoError(t, err)
		}
	})
}
