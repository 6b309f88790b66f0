package config

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/microtime"
)

const good = `{"name": "n3", "listen": "127.0.0.1:4100", "pool": "127.0.0.1:9300", "control": "127.0.0.1:7946",
 "seed": "8c1f30d27a5be964", "stop_ms": 3200, "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
 "settings": {"classes": [{"name": "a", "aim_ms": 1000, "hard_limit_ms": 4000, "worth": 1, "effect": "free"}],
 "extra": {"cores": 4, "gauges": ["cpu_busy"]}}}`

func TestGood(t *testing.T) {
	c, err := parse([]byte(good), []byte("[front]\nlisten = \"127.0.0.1:8009\"\n"), nil, nil, nil, env("RELAY_LISTEN", "127.0.0.2:4100"))
	require.NoError(t, err)
	require.Equal(t, "n3", c.Name)
	require.Equal(t, "127.0.0.2:4100", c.Listen, "the environment wins")
	require.Equal(t, 3200*microtime.Millisecond, c.ShutdownTimeout)
	require.EqualValues(t, 192<<20, c.MemoryLimit)
	require.Equal(t, uint64(0x8c1f30d27a5be964), c.Settings.Seed)
	require.Equal(t, []string{"cpu_busy"}, c.Gauges)
	require.Equal(t, "127.0.0.1:8009", c.AJP.Listen)
	require.Equal(t, defaultMaxBody, c.AJP.MaxBody)
}

// Every error names the key at fault.
func TestErrorsNameTheKey(t *testing.T) {
	for _, c := range []struct{ old, new, ajp, want string }{
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
		_, err := parse([]byte(strings.Replace(good, c.old, c.new, 1)), []byte(c.ajp), nil, nil, nil, env("", ""))
		require.ErrorContains(t, err, c.want)
	}
	for text, want := range map[string]string{
		"driver = \"oracle\"": "driver:", "driver = \"sqlite\"": "dsn:", "path = \"x\"": "path: unknown",
		"driver = \"postgres\"\ndsn = \"x\"\ntimeout_ms = 0": "timeout_ms:",
	} {
		_, err := parse([]byte(good), nil, []byte(text), nil, nil, env("", ""))
		require.ErrorContains(t, err, "store.toml: "+want)
	}
	_, err := Load(func(string) string { return "" })
	require.ErrorContains(t, err, "RELAY_CONFIG")
}

// The files that ship are off: the platform runs with them.
func TestShippedFilesAreOff(t *testing.T) {
	env := map[string]string{"RELAY_CONFIG": "testdata/config.json", "RELAY_AJP": "../../deploy/ajp.toml", "RELAY_STORE": "../../deploy/store.toml"}
	c, err := Load(func(k string) string { return env[k] })
	require.NoError(t, err)
	require.Empty(t, c.AJP.Listen)
	require.Empty(t, c.AJP.BackendAddress)
	require.Empty(t, c.Store.Driver)
}

// Guards the edge's file: what is faulty is named, and what is right is read.
func TestFleetFile(t *testing.T) {
	c, err := parse([]byte(good), nil, nil, []byte("[edge]\ntries = 2\n[[server]]\nname = \"n1\"\naddress = \"127.0.0.1:4101\"\n"), nil, env("", ""))
	require.NoError(t, err)
	require.Equal(t, []Member{{"n1", "127.0.0.1:4101"}}, c.Fleet.Members)
	require.Equal(t, 2, c.Fleet.Retries.MaxAttempts)
	for text, want := range map[string]string{
		"[[server]]\nname = \"a b\"\naddress = \"127.0.0.1:1\"":                                                    "server 1: name",
		"[[server]]\nname = \"a\"\naddress = \"here\"":                                                             "server 1: address",
		"[[server]]\nname = \"a\"\naddress = \"127.0.0.1:1\"\n[[server]]\nname = \"a\"\naddress = \"127.0.0.1:2\"": "server 2: name",
		"[edge]\ncolour = 1":       "edge.colour: unknown key",
		"[edge]\nwarm_from = 2.0":  "warm_from",
		"[edge]\ntries = 99":       "tries",
		"[edge]\neject_most = 1.5": "eject_most",
	} {
		_, err := parse([]byte(good), nil, nil, []byte(text), nil, env("", ""))
		require.ErrorContains(t, err, want, text)
	}
	text, err := os.ReadFile("../../deploy/fleet.toml")
	require.NoError(t, err)
	c, err = parse([]byte(good), nil, nil, text, nil, env("", ""))
	require.NoError(t, err)
	require.Empty(t, c.Fleet.Members, "it ships off")
}

func env(key, value string) func(string) string {
	return func(k string) string {
		if k == key {
			return value
		}
		return ""
	}
}

// The operators' address is the environment's before the file's, is checked, and may be absent.
func TestAdmin(t *testing.T) {
	with := strings.Replace(good, "{", `{"admin": "127.0.0.1:7000", `, 1)
	c, err := parse([]byte(with), nil, nil, nil, nil, env("", ""))
	require.NoError(t, err)
	require.Equal(t, "127.0.0.1:7000", c.AdminAddress)
	c, err = parse([]byte(with), nil, nil, nil, nil, env("RELAY_ADMIN", "127.0.0.1:7001"))
	require.NoError(t, err)
	require.Equal(t, "127.0.0.1:7001", c.AdminAddress)
	c, err = parse([]byte(good), nil, nil, nil, nil, env("", ""))
	require.NoError(t, err)
	require.Empty(t, c.AdminAddress)
	_, err = parse([]byte(good), nil, nil, nil, nil, env("RELAY_ADMIN", "here"))
	require.ErrorContains(t, err, `admin: "here"`)
}

// The file of copies is off as it ships, and each faulty key is named.
func TestCopies(t *testing.T) {
	text, err := os.ReadFile("../../deploy/copies.toml")
	require.NoError(t, err)
	c, err := parse([]byte(good), nil, nil, nil, text, env("", ""))
	require.NoError(t, err)
	require.Zero(t, c.Copies.ID)
	with := "id = 2\nlisten = \"127.0.0.1:7002\"\nfolder = \"held\"\n[[member]]\nid = 1\naddress = \"127.0.0.1:7001\"\n[[member]]\nid = 2\naddress = \"127.0.0.1:7002\"\n"
	c, err = parse([]byte(good), nil, nil, nil, []byte(with), env("", ""))
	require.NoError(t, err)
	require.Len(t, c.Copies.Peers, 2)
	require.Equal(t, 3, c.Copies.Copies)
	for _, f := range []struct{ old, new, names string }{
		{"id = 2\nl", "id = 9\nl", "member: none has id 9"}, {"folder = \"held\"", "", "folder"}, {"listen = \"127.0.0.1:7002\"", "listen = \"x\"", "listen"},
		{"folder", "copies = 4\nfolder", "copies"}, {"folder", "wait_ms = 0\nfolder", "wait_ms"}, {"folder", "repair_keys_per_s = 0\nfolder", "repair"},
		{"address = \"127.0.0.1:7001\"", "address = \"here\"", "member 1: address"}, {"id = 1\n", "id = 2\n", "member 2"}, {"folder", "colour = 1\nfolder", "colour"},
	} {
		require.Contains(t, with, f.old)
		_, err := parse([]byte(good), nil, nil, nil, []byte(strings.Replace(with, f.old, f.new, 1)), env("", ""))
		require.ErrorContains(t, err, f.names)
		require.ErrorContains(t, err, "copies.toml")
	}
	_, err = parse([]byte(good), nil, []byte("driver = \"sqlite\"\ndsn = \"a.db\"\n"), nil, []byte(with), env("", ""))
	require.ErrorContains(t, err, "only one can hold the intakes")
}
