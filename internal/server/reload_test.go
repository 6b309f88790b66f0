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

// configWith is the stage's configuration with other settings.
func (s *loopFixture) configWith(change func(string) string) config.Config {
	cfg := s.srv.cfg
	text := change(settingsJSON)
	var err error
	cfg.Settings, cfg.Gauges, err = settings.Parse([]byte(text), 7)
	require.NoError(s.t, err)
	var set any
	require.NoError(s.t, json.Unmarshal([]byte(text), &set))
	cfg.Document = map[string]any{"settings": set}
	return cfg
}

const grapeClass = `{"name": "grape-count", "aim_ms": 900, "hard_limit_ms": 2000, "worth": 3, "effect": "free"},`

func withGrape(text string) string {
	return strings.Replace(text, `{"classes": [`, `{"classes": [`+grapeClass, 1)
}

// unchanged says "settings as the stage began".
func unchanged(text string) string { return text }

func without(name string) func(string) string {
	return func(text string) string {
		i := strings.Index(text, `{"name": "`+name)
		j := i + strings.Index(text[i:], "}") + 1
		return text[:i] + strings.TrimPrefix(strings.TrimPrefix(text[j:], ","), "\n ")
	}
}

// Guards a change of settings while serving: a new class is served at once, what is open when its class goes keeps it and is
// answered, an intake that ran is found by a repeat of the class that is gone, and that class is unknown once its time is over.
func TestReloadSettings(t *testing.T) {
	l := newPoolFixture(t)
	l.submit("00000000000000a1", "lot-intake", "k1")
	l.poolSends("finished 1 00000000000000a1 PASS 5 3\r\nlot\r\n")
	require.Contains(t, l.submit("00000000000000a2", "lot-update", ""), "spawn 00000000000000a2 lot-update")
	require.Contains(t, l.submit("00000000000000a3", "lot-intake", "k2"), "spawn")
	l.caller.out = nil

	first := func(text string) string { // sorted anew, one class gone, one come, one changed
		text = without("lot-intake")(withGrape(text))
		text = strings.Replace(text, `"worth": 1, "effect": "free"},
 ],`, `"worth": 1, "effect": "free"}],`, 1)
		return strings.Replace(text, `"lot-update", "aim_ms": 1800, "hard_limit_ms": 4500`, `"lot-update", "aim_ms": 700, "hard_limit_ms": 1500`, 1)
	}
	require.NoError(t, l.srv.Reload(l.configWith(first)))
	l.submit("00000000000000a4", "grape-count", "") // waits: two cores are busy
	require.Contains(t, l.poolSends("finished 2 00000000000000a3 PASS 5 4\r\nlot2\r\n"), "spawn 00000000000000a4 grape-count")
	l.poolSends("finished 3 00000000000000a4 PASS 5 5\r\ngrape\r\n")
	require.Contains(t, string(l.caller.out), "lot2")
	require.Contains(t, string(l.caller.out), "grape")

	// What was open keeps its class and its deadline: 4.5 s, not 1.5.
	l.advance(l.now + 3*microtime.Second)
	require.Equal(t, 1, l.counters().InProgress)
	l.poolSends("finished 4 00000000000000a2 PASS 5 6\r\nupdate\r\n")
	require.Contains(t, string(l.caller.out), "update")
	// A repeat of the class that is gone finds its result, within the window.
	l.caller.out = nil
	require.NotContains(t, l.submit("00000000000000a5", "lot-intake", "k1"), "spawn")
	require.Contains(t, string(l.caller.out), "lot")
	l.advance(l.now + 14*microtime.Second)
	l.caller = l.connect("c2", 0)
	l.submit("00000000000000a6", "lot-intake", "k9")
	require.Contains(t, string(l.caller.out), `class: unknown "lot-intake"`)
	require.Equal(t, 3, l.counters().Succeeded["lot-intake"], "a class that is gone keeps its figures")

	// Back again, twice in a row, and in a drain: it is served as at first.
	require.NoError(t, l.srv.Reload(l.configWith(unchanged)))
	require.NoError(t, l.srv.Reload(l.configWith(withGrape)))
	l.srv.Drain(l.now)
	require.NoError(t, l.srv.Reload(l.configWith(unchanged)))
	require.Contains(t, l.submit("00000000000000a7", "lot-intake", "k10"), "spawn 00000000000000a7 lot-intake")
	l.poolSends("finished 5 00000000000000a7 PASS 5 3\r\nnew\r\n")
	require.Contains(t, string(l.caller.out), "new")
	require.Equal(t, 5, l.counters().Reloads+l.counters().ReloadErrors+1)
}

// Guards the table of classes against reloads without end: places that nothing holds on to are used again.
func TestReloadsReuseClassPlaces(t *testing.T) {
	l := newPoolFixture(t)
	for i := range 2000 {
		text := func(text string) string {
			return strings.Replace(text, `"hard_limit_ms": 4500`, fmt.Sprintf(`"hard_limit_ms": %d`, 4500+i%7), 1)
		}
		require.NoError(t, l.srv.Reload(l.configWith(text)))
		l.advance(l.now + microtime.Second)
		require.LessOrEqual(t, len(l.srv.cfg.Settings.Classes), 24)
	}
	require.Contains(t, l.submit("00000000000000a1", "block-view", ""), "spawn")
}

// Guards a server that serves against a faulty file: each names its key, and nothing changes, not the address beside it.
func TestInvalidSettingsChangeNothing(t *testing.T) {
	l := newPoolFixture(t)
	cfg := l.configWith(unchanged)
	cfg.ControlAddress = "control"
	require.NoError(t, l.srv.Reload(cfg))
	before := l.srv.cfg
	for _, c := range []struct{ old, new, want string }{
		{`"worth": 10, `, "", "settings.classes[2].worth: missing"},
		{`"hard_limit_ms": 4500, "worth": 10`, `"worth": 10`, "settings.classes[2].hard_limit_ms: missing"},
		{`"client_habits": {"marks_retry": true},`, "", "settings.client_habits: missing"},
		{`, "fall_multiple": 8`, "", "settings.rules.fall_multiple: missing"},
		{`{"name": "hill-estate", "quota_rps": 69}`, `{"name": "hill-estate"}`, "settings.tenants[0].quota_rps: missing"},
		{`"memory_kb": 47610`, `"memory_kb": -1`, "negative"},
		{`"aim_ms": 1800, "hard_limit_ms": 4500, "worth": 10`, `"aim_ms": 1800, "hard_limit_ms": -1, "worth": 10`, "lot-intake"},
	} {
		cfg := l.configWith(func(text string) string {
			require.Contains(t, text, c.old)
			return strings.Replace(text, c.old, c.new, 1)
		})
		cfg.ControlAddress = "elsewhere"
		require.ErrorContains(t, l.srv.Reload(cfg), c.want)
		require.Equal(t, before, l.srv.cfg, c.want)
		require.Equal(t, "control", l.reportAddress)
	}
	require.Equal(t, 7, l.counters().ReloadErrors)
	require.Contains(t, l.submit("00000000000000a1", "lot-intake", "k1"), "spawn")
}

// Guards what is open on a connection against requests of a class that this server does not know yet: each is answered with
// an error, and the connection stays.
func TestUnknownClassKeepsConnection(t *testing.T) {
	l := newPoolFixture(t)
	l.submit("00000000000000a1", "block-view", "")
	for i := range 3 * thriftfrontend.MaxConsecutiveErrors {
		l.submit(fmt.Sprintf("%016x", 100+i), "no-such", "")
	}
	require.False(t, l.caller.closed)
	require.Equal(t, 3*thriftfrontend.MaxConsecutiveErrors, bytes.Count(l.caller.out, []byte(`class: unknown`)))
	l.poolSends("finished 1 00000000000000a1 PASS 5 2\r\nok\r\n")
	payload, _, err := thrift.SplitFrame(l.caller.out[bytes.LastIndex(l.caller.out, []byte("process"))-12:])
	require.NoError(t, err)
	require.NotNil(t, payload)
}
