package config

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/microtime"
)

const validJSON = `{"name": "n3", "listen": "127.0.0.1:4100", "pool": "127.0.0.1:9300", "control": "127.0.0.1:7946",
 "seed": "8c1f30d27a5be964", "stop_ms": 3200, "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
 "settings": {"classes": [{"name": "a", "aim_ms": 1000, "hard_limit_ms": 4000, "worth": 1, "effect": "free"}],
 "extra": {"cores": 4, "gauges": ["cpu_busy"]}}}`

// validSources returns a valid JSON file and no TOML files.
func validSources() sources { return sources{json: []byte(validJSON)} }

// env returns an environment with a single variable.
func env(variable, value string) func(string) string {
	return func(name string) string {
		if name == variable {
			return value
		}
		return ""
	}
}

func emptyEnv(string) string { return "" }

func TestParseValidFiles(t *testing.T) {
	texts := validSources()
	texts.ajp = []byte("[front]\nlisten = \"127.0.0.1:8009\"\n")
	cfg, err := parse(texts, env("RELAY_LISTEN", "127.0.0.2:4100"))
	require.NoError(t, err)
	require.Equal(t, "n3", cfg.Name)
	require.Equal(t, "127.0.0.2:4100", cfg.Listen, "the environment takes precedence")
	require.Equal(t, 3200*microtime.Millisecond, cfg.ShutdownTimeout)
	require.EqualValues(t, 192<<20, cfg.MemoryLimit)
	require.Equal(t, uint64(0x8c1f30d27a5be964), cfg.Settings.Seed)
	require.Equal(t, []string{"cpu_busy"}, cfg.Gauges)
	require.Equal(t, "127.0.0.1:8009", cfg.AJP.Listen)
	require.Equal(t, defaultMaxBody, cfg.AJP.MaxBody)
	require.Equal(t, 2*microtime.Second, cfg.AJP.BodyTimeout)
}

// Every error names the invalid key.
func TestErrorsNameTheKey(t *testing.T) {
	for _, tc := range []struct{ old, new, ajp, want string }{
		{`"name": "n3"`, `"name": "n 3"`, "", "name:"},
		{`"127.0.0.1:4100"`, `"here"`, "", "listen:"},
		{`"127.0.0.1:9300"`, `""`, "", "pool:"},
		{`"127.0.0.1:7946"`, `"x:y"`, "", "control:"},
		{`"8c1f30d27a5be964"`, `"zz"`, "", "seed:"},
		{`3200`, `-1`, "", "stop_ms:"},
		{`3200`, `"soon"`, "", "stop_ms:"},
		{`192`, `8`, "", "limits.memory_mb:"},
		{`1024`, `3`, "", "limits.sockets:"},
		{`"cores": 4`, `"cores": 0`, "", "settings.extra.cores:"},
		{`"free"`, `"odd"`, "", "effect"},
		{`}}}`, ``, "", "RELAY_CONFIG:"},
		{"", "", "[front]\nlisten = \"nowhere\"", "front.listen:"},
		{"", "", "[front]\nbody_timeout_ms = 0", "front.body_timeout_ms:"},
		{"", "", "[front]\nmax_body_bytes = -1", "front.max_body_bytes:"},
		{"", "", "[front]\nmax_connections = 0", "front.max_connections:"},
		{"", "", "[front]\ncolour = 1", "front.colour: unknown"},
		{"", "", "[runner]\naddress = \"x\"", "runner.address:"},
		{"", "", "[runner]\nconnections = 0", "runner.connections:"},
		{"", "", "[runner]\npath = \"run\"", "runner.path:"},
		{"", "", "front = [", "ajp.toml:"},
	} {
		t.Run(tc.want, func(t *testing.T) {
			texts := sources{json: []byte(strings.Replace(validJSON, tc.old, tc.new, 1)), ajp: []byte(tc.ajp)}
			_, err := parse(texts, emptyEnv)
			require.ErrorContains(t, err, tc.want)
			var keyError *KeyError
			require.ErrorAs(t, err, &keyError)
		})
	}
	for text, want := range map[string]string{
		"driver = \"oracle\"": "driver:", "driver = \"sqlite\"": "dsn:", "path = \"x\"": "path: unknown",
		"driver = \"postgres\"\ndsn = \"x\"\ntimeout_ms = 0": "timeout_ms:",
	} {
		texts := validSources()
		texts.store = []byte(text)
		_, err := parse(texts, emptyEnv)
		require.ErrorContains(t, err, "store.toml: "+want)
	}
	_, err := Load(emptyEnv)
	require.ErrorContains(t, err, "RELAY_CONFIG")
}

// The features of the shipped TOML files are disabled, because the platform runs with these files.
func TestShippedFilesAreDisabled(t *testing.T) {
	variables := map[string]string{
		"RELAY_CONFIG": "testdata/config.json",
		"RELAY_AJP":    "../../deploy/ajp.toml",
		"RELAY_STORE":  "../../deploy/store.toml",
	}
	cfg, err := Load(func(name string) string { return variables[name] })
	require.NoError(t, err)
	require.Empty(t, cfg.AJP.Listen)
	require.Empty(t, cfg.AJP.BackendAddress)
	require.Empty(t, cfg.Store.Driver)
}

// A valid fleet.toml is read, the shipped one configures no servers, and each error names the invalid key.
func TestFleetFile(t *testing.T) {
	parseWith := func(text string) (Config, error) {
		texts := validSources()
		texts.fleet = []byte(text)
		return parse(texts, emptyEnv)
	}
	cfg, err := parseWith("[edge]\ntries = 2\n[[server]]\nname = \"n1\"\naddress = \"127.0.0.1:4101\"\n")
	require.NoError(t, err)
	require.Equal(t, []Member{{"n1", "127.0.0.1:4101"}}, cfg.Fleet.Members)
	require.Equal(t, 2, cfg.Fleet.Retries.MaxAttempts)
	const first = "[[server]]\nname = \"a\"\naddress = \"127.0.0.1:1\"\n"
	for text, want := range map[string]string{
		"[[server]]\nname = \"a b\"\naddress = \"127.0.0.1:1\"":       "server 1: name",
		"[[server]]\nname = \"a\"\naddress = \"here\"":                "server 1: address",
		first + "[[server]]\nname = \"a\"\naddress = \"127.0.0.1:2\"": "server 2: name",
		"[edge]\ncolour = 1":       "edge.colour: unknown key",
		"[edge]\nwarm_from = 2.0":  "warm_from",
		"[edge]\ntries = 99":       "tries",
		"[edge]\neject_most = 1.5": "eject_most",
	} {
		_, err := parseWith(text)
		require.ErrorContains(t, err, want, text)
	}
	text, err := os.ReadFile("../../deploy/fleet.toml")
	require.NoError(t, err)
	cfg, err = parseWith(string(text))
	require.NoError(t, err)
	require.Empty(t, cfg.Fleet.Members, "the shipped file configures no servers")
}

// The address for operators is optional and is checked. The environment takes precedence over the file.
func TestAdminAddress(t *testing.T) {
	withAdmin := sources{json: []byte(strings.Replace(validJSON, "{", `{"admin": "127.0.0.1:7000", `, 1))}
	cfg, err := parse(withAdmin, emptyEnv)
	require.NoError(t, err)
	require.Equal(t, "127.0.0.1:7000", cfg.AdminAddress)
	cfg, err = parse(withAdmin, env("RELAY_ADMIN", "127.0.0.1:7001"))
	require.NoError(t, err)
	require.Equal(t, "127.0.0.1:7001", cfg.AdminAddress)
	cfg, err = parse(validSources(), emptyEnv)
	require.NoError(t, err)
	require.Empty(t, cfg.AdminAddress)
	_, err = parse(validSources(), env("RELAY_ADMIN", "here"))
	require.ErrorContains(t, err, `admin: "here"`)
}

// A valid copies.toml is read, the shipped one disables replication, and each error names the invalid key.
func TestReplicationFile(t *testing.T) {
	parseWith := func(text, store string) (Config, error) {
		texts := validSources()
		texts.replication = []byte(text)
		texts.store = []byte(store)
		return parse(texts, emptyEnv)
	}
	text, err := os.ReadFile("../../deploy/copies.toml")
	require.NoError(t, err)
	cfg, err := parseWith(string(text), "")
	require.NoError(t, err)
	require.Zero(t, cfg.Replication.ServerID)
	const valid = "id = 2\nlisten = \"127.0.0.1:7002\"\nfolder = \"held\"\n" +
		"[[member]]\nid = 1\naddress = \"127.0.0.1:7001\"\n[[member]]\nid = 2\naddress = \"127.0.0.1:7002\"\n"
	cfg, err = parseWith(valid, "")
	require.NoError(t, err)
	require.Len(t, cfg.Replication.Peers, 2)
	require.Equal(t, 3, cfg.Replication.ReplicationFactor)
	for _, tc := range []struct{ old, new, want string }{
		{"id = 2\nl", "id = 9\nl", "member: none has id 9"},
		{"folder = \"held\"", "", "folder"},
		{"listen = \"127.0.0.1:7002\"", "listen = \"x\"", "listen"},
		{"folder", "copies = 4\nfolder", "copies"},
		{"folder", "wait_ms = 0\nfolder", "wait_ms"},
		{"folder", "repair_keys_per_s = 0\nfolder", "repair"},
		{"address = \"127.0.0.1:7001\"", "address = \"here\"", "member 1: address"},
		{"id = 1\n", "id = 2\n", "member 2"},
		{"folder", "colour = 1\nfolder", "colour"},
	} {
		require.Contains(t, valid, tc.old)
		_, err := parseWith(strings.Replace(valid, tc.old, tc.new, 1), "")
		require.ErrorContains(t, err, tc.want)
		require.ErrorContains(t, err, "copies.toml")
	}
	_, err = parseWith(valid, "driver = \"sqlite\"\ndsn = \"a.db\"\n")
	require.ErrorContains(t, err, "executions can be recorded in only one")
}
