package faults

import (
	"errors"
	"math/rand/v2"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"pewterline/internal/microtime"
)

// Every drawn script passes its own checks, and its text reads back as the same script.
func TestDrawnScriptsReadBack(t *testing.T) {
	for _, profile := range Profiles() {
		for seed := range uint64(300) {
			w := World{Servers: 1 + int(seed%5), Proxies: int(seed % 4), Length: 12 * microtime.Second, Vault: seed%2 == 1}
			s, err := w.Draw(seed, profile)
			require.NoError(t, err)
			require.NoError(t, s.Validate())
			back, err := Parse(s.String())
			require.NoError(t, err, s.String())
			require.Equal(t, s, back)
			again, err := w.Draw(seed, profile)
			require.NoError(t, err)
			require.Equal(t, s, again)
		}
	}
}

// Each kind can be drawn, passes, and reads back.
func TestEveryKindOfFault(t *testing.T) {
	script := Script{Servers: 2, Proxies: 2, WebFrontends: 1, Store: true, Vault: true, Length: 10 * microtime.Second}
	rng := rand.New(rand.NewPCG(1, 2))
	require.Len(t, Kinds(), 37)
	for _, k := range Kinds() {
		for range 20 {
			f := script.RandomFaultOf(rng, k)
			require.True(t, script.Allows(f), f)
			script.Faults = append(script.Faults, f)
		}
	}
	script.SortFaults()
	back, err := Parse(script.String())
	require.NoError(t, err)
	require.Equal(t, script, back)
}

// An error names the line and the field that is wrong.
func TestErrorsNameTheLineAndTheField(t *testing.T) {
	world := "# a comment\nworld seed=1 servers=2 proxies=1 offices=1 seconds=10 rate=5\n\n"
	for _, test := range []struct {
		text, field string
		line        int
	}{
		{"", "world", 0},
		{"fault at=1s kind=kill node=s0", "fault", 1},
		{"world seed=x servers=1 seconds=1", "seed", 1},
		{"world seed=1 servers=0 seconds=1", "servers", 1},
		{"world seed=1 servers=1 seconds=0", "seconds", 1},
		{"world seed=1 servers=1 seconds=1 color=red", "color", 1},
		{"world seed=1 seed=2 servers=1 seconds=1", "seed", 1},
		{world + "world seed=1", "world", 4},
		{world + "storm at=1s", "storm", 4},
		{world + "fault at=1s kind=quake node=s0", "kind", 4},
		{world + "fault at=soon kind=kill node=s0", "at", 4},
		{world + "fault at=11s kind=kill node=s0", "at", 4},
		{world + "fault at=1s kind=kill", "node", 4},
		{world + "fault at=1s kind=kill node=s2", "node", 4},
		{world + "fault at=1s kind=kill node=p0", "node", 4},
		{world + "fault at=1s kind=kill node=s00", "node", 4},
		{world + "fault at=1s kind=mute node=s0", "node", 4},
		{world + "fault at=1s kind=kill node=s0 peer=w0", "peer", 4},
		{world + "fault at=1s kind=cut node=s0", "peer", 4},
		{world + "fault at=1s kind=hup node=s0 for=1s", "for", 4},
		{world + "fault at=1s kind=pause node=s0 for=-1s", "for", 4},
		{world + "fault at=1s kind=flood what=nobody amount=2", "what", 4},
		{world + "fault at=1s kind=vault-down node=v0", "node", 4},
		{"world seed=1 servers=1 seconds=1 vault=true edges=2", "vault", 1},
		{"world seed=1 servers=1 seconds=1 guarded=true", "guarded", 1},
		{"world seed=1 servers=1 seconds=1 vault=true\nfault at=1s kind=flood what=hill-estate amount=2", "what", 2},
		{"world seed=1 servers=1 seconds=1 vault=true\nfault at=1s kind=vault-slow node=v1 amount=2", "node", 2},
		{
			"world seed=1 servers=1 seconds=1 vault=true\nfault at=1s kind=vault-failing node=v0 what=notnow amount=1",
			"what", 2,
		},
		{world + "fault at=1s kind=slow node=w0 amount=0.5", "amount", 4},
		{world + "fault at=1s kind=slow node=w0 amount=NaN", "amount", 4},
		{world + "fault at=1s kind=kill node", "node", 4},
	} {
		_, err := Parse(test.text)
		var e *Error
		require.True(t, errors.As(err, &e), "%q gives %v", test.text, err)
		require.Equal(t, test.field, e.Field, test.text)
		require.Equal(t, test.line, e.Line, test.text)
	}
	_, err := World{Servers: 1, Proxies: 1, Length: microtime.Second}.Draw(1, "tea-time")
	require.ErrorContains(t, err, "profile")
}

// What was drawn before worlds had a vault is drawn the same today: kept seeds and the digests of their runs stay good.
func TestDrawsWithoutVaultStay(t *testing.T) {
	sum := xxhash.New()
	for _, profile := range Profiles() {
		for seed := range uint64(50) {
			s, err := World{Servers: 3, Proxies: 4, Edges: int(seed % 3), Length: 12 * microtime.Second}.Draw(seed, profile)
			require.NoError(t, err)
			_, _ = sum.WriteString(s.String())
		}
	}
	require.Equal(t, uint64(0x38124b22cbad012c), sum.Sum64())
}

// Guards against whatever a file holds: nothing panics, and what passes reads back.
func FuzzParse(f *testing.F) {
	f.Add("world seed=1 servers=2 proxies=1 offices=1 seconds=10 rate=5\nfault at=1s kind=cut node=w0 peer=s0 amount=3\n")
	f.Add("world seed=1 servers=1 seconds=1e300\n")
	f.Fuzz(func(t *testing.T, text string) {
		s, err := Parse(text)
		if err != nil {
			return
		}
		back, err := Parse(s.String())
		require.NoError(t, err, s.String())
		require.Equal(t, s.Faults, back.Faults)
	})
}
