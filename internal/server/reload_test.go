package server

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/config"
	"pewterline/internal/frontend/thriftfrontend"
	"pewterline/internal/microtime"
	"pewterline/internal/protocol/thrift"
	"pewterline/internal/settings"
)

// configWith returns the server's configuration with the settings of settingsJSON as modified by change.
func (f *loopFixture) configWith(change func(string) string) config.Config {
	f.t.Helper()
	cfg := f.srv.cfg
	text := change(settingsJSON)
	var err error
	cfg.Settings, cfg.Gauges, err = settings.Parse([]byte(text), 7)
	require.NoError(f.t, err)
	var document any
	require.NoError(f.t, json.Unmarshal([]byte(text), &document))
	cfg.Document = map[string]any{"settings": document}
	return cfg
}

// grapeClass is a class that settingsJSON does not contain.
const grapeClass = `{"name": "grape-count", "aim_ms": 900, "hard_limit_ms": 2000, "worth": 3, "effect": "free"},`

func withGrape(text string) string {
	return strings.Replace(text, `{"classes": [`, `{"classes": [`+grapeClass, 1)
}

// unchanged returns the settings that the fixture starts with.
func unchanged(text string) string { return text }

func without(class string) func(string) string {
	return func(text string) string {
		start := strings.Index(text, `{"name": "`+class)
		end := start + strings.Index(text[start:], "}") + 1
		return text[:start] + strings.TrimPrefix(strings.TrimPrefix(text[end:], ","), "\n ")
	}
}

// Settings change while the server is serving. A new class is served at once. Requests that are open when their class
// is retired keep their class and are answered. A retry of such a request gets the recorded result until the acceptance
// of the class ends.
func TestReloadSettings(t *testing.T) {
	fixture := newPoolFixture(t)
	fixture.submit("00000000000000a1", "lot-intake", "k1")
	fixture.poolSends(finishedNotice(1, "00000000000000a1", "lot"))
	require.Contains(t, fixture.submit("00000000000000a2", "lot-update", ""), "spawn 00000000000000a2 lot-update")
	require.Contains(t, fixture.submit("00000000000000a3", "lot-intake", "k2"), "spawn")
	fixture.client.out = nil

	modified := func(text string) string { // One class is retired, one is added in front, and one has changed.
		text = without("lot-intake")(withGrape(text))
		text = strings.Replace(text, `"worth": 1, "effect": "free"},
 ],`, `"worth": 1, "effect": "free"}],`, 1)
		return strings.Replace(text, `"lot-update", "aim_ms": 1800, "hard_limit_ms": 4500`,
			`"lot-update", "aim_ms": 700, "hard_limit_ms": 1500`, 1)
	}
	require.NoError(t, fixture.srv.Reload(fixture.configWith(modified)))
	fixture.submit("00000000000000a4", "grape-count", "") // Waits because both cores are busy.
	sent := fixture.poolSends(finishedNotice(2, "00000000000000a3", "lot2"))
	require.Contains(t, sent, "spawn 00000000000000a4 grape-count")
	fixture.poolSends(finishedNotice(3, "00000000000000a4", "grape"))
	require.Contains(t, string(fixture.client.out), "lot2")
	require.Contains(t, string(fixture.client.out), "grape")

	// An open request keeps its class and its deadline: 4.5 s, not 1.5 s.
	fixture.advance(fixture.now + 3*microtime.Second)
	require.Equal(t, 1, fixture.counters().InProgress)
	fixture.poolSends(finishedNotice(4, "00000000000000a2", "update"))
	require.Contains(t, string(fixture.client.out), "update")
	// A retry in the retired class gets its result within the retention window.
	fixture.client.out = nil
	require.NotContains(t, fixture.submit("00000000000000a5", "lot-intake", "k1"), "spawn")
	require.Contains(t, string(fixture.client.out), "lot")
	fixture.advance(fixture.now + 14*microtime.Second)
	fixture.connectClient("c2")
	fixture.submit("00000000000000a6", "lot-intake", "k9")
	require.Contains(t, string(fixture.client.out), `class: unknown "lot-intake"`)
	require.Equal(t, 3, fixture.counters().Succeeded["lot-intake"], "a retired class keeps its counters")

	// The class is restored, and is still served after two more reloads, the last of them during a drain.
	require.NoError(t, fixture.srv.Reload(fixture.configWith(unchanged)))
	require.NoError(t, fixture.srv.Reload(fixture.configWith(withGrape)))
	fixture.srv.Drain(fixture.now)
	require.NoError(t, fixture.srv.Reload(fixture.configWith(unchanged)))
	require.Contains(t, fixture.submit("00000000000000a7", "lot-intake", "k10"), "spawn 00000000000000a7 lot-intake")
	fixture.poolSends(finishedNotice(5, "00000000000000a7", "new"))
	require.Contains(t, string(fixture.client.out), "new")
	require.Equal(t, 5, fixture.counters().Reloads+fixture.counters().ReloadErrors+1)
}

// Many reloads do not fill the table of classes: indices that no request refers to any more are reused.
func TestReloadsReuseClassIndices(t *testing.T) {
	fixture := newPoolFixture(t)
	for i := range 2000 {
		withDeadline := func(text string) string {
			return strings.Replace(text, `"hard_limit_ms": 4500`, fmt.Sprintf(`"hard_limit_ms": %d`, 4500+i%7), 1)
		}
		require.NoError(t, fixture.srv.Reload(fixture.configWith(withDeadline)))
		fixture.advance(fixture.now + microtime.Second)
		require.LessOrEqual(t, len(fixture.srv.cfg.Settings.Classes), 24)
	}
	require.Contains(t, fixture.submit("00000000000000a1", "block-view", ""), "spawn")
}

// A configuration with invalid settings changes nothing, not even its other keys, and the error names the invalid key.
func TestInvalidSettingsChangeNothing(t *testing.T) {
	fixture := newPoolFixture(t)
	cfg := fixture.configWith(unchanged)
	cfg.ControlAddress = "control"
	require.NoError(t, fixture.srv.Reload(cfg))
	before := fixture.srv.cfg
	cases := []struct {
		name        string
		old         string
		replacement string
		want        string
	}{
		{"no worth", `"worth": 10, `, "", "settings.classes[2].worth: missing"},
		{"no deadline", `"hard_limit_ms": 4500, "worth": 10`, `"worth": 10`, "settings.classes[2].hard_limit_ms: missing"},
		{"no habits", `"client_habits": {"marks_retry": true},`, "", "settings.client_habits: missing"},
		{"no rule", `, "fall_multiple": 8`, "", "settings.rules.fall_multiple: missing"},
		{"no quota", `"hill-estate", "quota_rps": 69}`, `"hill-estate"}`, "settings.tenants[0].quota_rps: missing"},
		{"negative memory", `"memory_kb": 47610`, `"memory_kb": -1`, "negative"},
		{"negative deadline", `"hard_limit_ms": 4500, "worth": 10`, `"hard_limit_ms": -1, "worth": 10`, "lot-intake"},
	}
	for _, tc := range cases {
		cfg := fixture.configWith(func(text string) string {
			require.Contains(t, text, tc.old, tc.name)
			return strings.Replace(text, tc.old, tc.replacement, 1)
		})
		cfg.ControlAddress = "elsewhere"
		require.ErrorContains(t, fixture.srv.Reload(cfg), tc.want, tc.name)
		require.Equal(t, before, fixture.srv.cfg, tc.name)
		require.Equal(t, "control", fixture.reportAddress, tc.name)
	}
	require.Equal(t, len(cases), fixture.counters().ReloadErrors)
	require.Contains(t, fixture.submit("00000000000000a1", "lot-intake", "k1"), "spawn")
}

// Requests of a class that this server does not know yet are answered with an error. The connection stays open, and
// other requests on it are still answered.
func TestUnknownClassKeepsConnection(t *testing.T) {
	fixture := newPoolFixture(t)
	fixture.submit("00000000000000a1", "block-view", "")
	for i := range 3 * thriftfrontend.MaxConsecutiveErrors {
		fixture.submit(fmt.Sprintf("%016x", 100+i), "no-such", "")
	}
	require.False(t, fixture.client.closed)
	require.Equal(t, 3*thriftfrontend.MaxConsecutiveErrors, bytes.Count(fixture.client.out, []byte(`class: unknown`)))
	fixture.poolSends(finishedNotice(1, "00000000000000a1", "ok"))
	const methodOffset = 12 // The number of bytes of a frame before the method's name.
	last := bytes.LastIndex(fixture.client.out, []byte("process")) - methodOffset
	payload, _, err := thrift.SplitFrame(fixture.client.out[last:])
	require.NoError(t, err)
	require.NotNil(t, payload)
}
