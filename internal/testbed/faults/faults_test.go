package faults

import (
	"errors"
	"math/rand/v2"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"pewterline/internal/microtime"
)

// Every drawn script is valid, its text parses to the same script, and drawing it again gives the same script.
func TestDrawnScriptsRoundTrip(t *testing.T) {
	for _, profile := range Profiles() {
		for seed := range uint64(300) {
			setup := Setup{Servers: 1 + int(seed%5), Proxies: int(seed % 4), Length: 12 * microtime.Second, Vault: seed%2 == 1}
			script, err := setup.Draw(seed, profile)
			require.NoError(t, err)
			require.NoError(t, script.Validate())
			parsed, err := Parse(script.String())
			require.NoError(t, err, script.String())
			require.Equal(t, script, parsed)
			again, err := setup.Draw(seed, profile)
			require.NoError(t, err)
			require.Equal(t, script, again)
		}
	}
}

// Each kind of fault can be drawn, is valid, and keeps its fields when its text is parsed.
func TestEveryKindOfFaultRoundTrips(t *testing.T) {
	script := Script{Servers: 2, Proxies: 2, WebFrontends: 1, Store: true, Vault: true, Length: 10 * microtime.Second}
	rng := rand.New(rand.NewPCG(1, 2))
	require.Len(t, Kinds(), 38)
	for _, kind := range Kinds() {
		for range 20 {
			fault := script.RandomFaultOf(rng, kind)
			require.True(t, script.Allows(fault), fault)
			script.Faults = append(script.Faults, fault)
		}
	}
	script.SortFaults()
	parsed, err := Parse(script.String())
	require.NoError(t, err)
	require.Equal(t, script, parsed)
}

// A parse error names the line and the invalid field.
func TestErrorsNameTheLineAndTheField(t *testing.T) {
	worldLine := "# a comment\nworld seed=1 servers=2 proxies=1 offices=1 seconds=10 rate=5\n\n"
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
		{worldLine + "world seed=1", "world", 4},
		{worldLine + "storm at=1s", "storm", 4},
		{worldLine + "fault at=1s kind=quake node=s0", "kind", 4},
		{worldLine + "fault at=soon kind=kill node=s0", "at", 4},
		{worldLine + "fault at=11s kind=kill node=s0", "at", 4},
		{worldLine + "fault at=1s kind=kill", "node", 4},
		{worldLine + "fault at=1s kind=kill node=s2", "node", 4},
		{worldLine + "fault at=1s kind=kill node=p0", "node", 4},
		{worldLine + "fault at=1s kind=kill node=s00", "node", 4},
		{worldLine + "fault at=1s kind=mute node=s0", "node", 4},
		{worldLine + "fault at=1s kind=kill node=s0 peer=w0", "peer", 4},
		{worldLine + "fault at=1s kind=cut node=s0", "peer", 4},
		{worldLine + "fault at=1s kind=hup node=s0 for=1s", "for", 4},
		{worldLine + "fault at=1s kind=pause node=s0 for=-1s", "for", 4},
		{worldLine + "fault at=1s kind=flood what=nobody amount=2", "what", 4},
		{worldLine + "fault at=1s kind=vault-down node=v0", "node", 4},
		{"world seed=1 servers=1 seconds=1 vault=true edges=2", "vault", 1},
		{"world seed=1 servers=1 seconds=1 guarded=true", "guarded", 1},
		{"world seed=1 servers=1 seconds=1 vault=true\nfault at=1s kind=flood what=hill-estate amount=2", "what", 2},
		{"world seed=1 servers=1 seconds=1 vault=true\nfault at=1s kind=vault-slow node=v1 amount=2", "node", 2},
		{
			"world seed=1 servers=1 seconds=1 vault=true\nfault at=1s kind=vault-failing node=v0 what=notnow amount=1",
			"what", 2,
		},
		{worldLine + "fault at=1s kind=slow node=w0 amount=0.5", "amount", 4},
		{worldLine + "fault at=1s kind=slow node=w0 amount=NaN", "amount", 4},
		{worldLine + "fault at=1s kind=kill node", "node", 4},
	} {
		_, err := Parse(test.text)
		var parseErr *Error
		require.True(t, errors.As(err, &parseErr), "%q gives %v", test.text, err)
		require.Equal(t, test.field, parseErr.Field, test.text)
		require.Equal(t, test.line, parseErr.Line, test.text)
	}
	_, err := Setup{Servers: 1, Proxies: 1, Length: microtime.Second}.Draw(1, "tea-time")
	require.ErrorContains(t, err, "profile")
}

// Scripts without a vault are drawn as they were before the vault was added: otherwise kept seeds and the digests of
// their runs would become invalid.
func TestDrawWithoutVaultIsUnchanged(t *testing.T) {
	sum := xxhash.New()
	for _, profile := range []string{"calm", "dawn", "noon", "release", "worst"} { // those of that time
		for seed := range uint64(50) {
			s, err := Setup{Servers: 3, Proxies: 4, Edges: int(seed % 3), Length: 12 * microtime.Second}.Draw(seed, profile)
			require.NoError(t, err)
			_, _ = sum.WriteString(s.String())
		}
	}
	require.Equal(t, uint64(0x38124b22cbad012c), sum.Sum64())
}

// Parse must not panic on any input, and the text of a script that it accepts must parse to the same faults.
func FuzzParse(f *testing.F) {
	f.Add("world seed=1 servers=2 proxies=1 offices=1 seconds=10 rate=5\nfault at=1s kind=cut node=w0 peer=s0 amount=3\n")
	f.Add("world seed=1 servers=1 seconds=1e300\n")
	f.Fuzz(func(t *testing.T, text string) {
		script, err := Parse(text)
		if err != nil {
			return
		}
		again, err := Parse(script.String())
		require.NoError(t, err, script.String())
		require.Equal(t, script.Faults, again.Faults)
	})
}
