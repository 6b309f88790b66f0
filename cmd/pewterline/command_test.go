package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

func asks(t *testing.T, env map[string]string, args ...string) (int, string) {
	t.Helper()
	var out bytes.Buffer
	code := command(args, func(k string) string { return env[k] }, &out, &out)
	return code, out.String()
}

// check names every faulty file with its key, not the first one alone, and exits with 1; a sound set exits with 0.
func TestCheckNamesEveryFault(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	env := map[string]string{
		"RELAY_CONFIG": write("config.json", `{"name": "a b", "listen": "127.0.0.1:1", "pool": "127.0.0.1:2", "settings": {}}`),
		"RELAY_AJP":    write("ajp.toml", "[front]\nlisten = \"here\"\n"),
		"RELAY_STORE":  write("store.toml", "driver = \"paper\"\n"),
		"RELAY_FLEET":  write("fleet.toml", "[edge]\ncolour = 1\n"),
	}
	code, out := asks(t, env, "check")
	require.Equal(t, failed, code)
	for _, want := range []string{"config.json: config: name", "ajp.toml: front.listen", "store.toml: driver", "fleet.toml: edge.colour"} {
		require.Contains(t, out, want)
	}
	code, out = asks(t, nil, "check")
	require.Equal(t, failed, code)
	require.Contains(t, out, "RELAY_CONFIG: not set")
	code, out = asks(t, map[string]string{"RELAY_CONFIG": "../../example/config.json"}, "check")
	require.Equal(t, fine, code, out)
	require.Contains(t, out, "sound")
}

func TestOtherCommands(t *testing.T) {
	code, out := asks(t, nil, "version")
	require.Equal(t, fine, code)
	require.Contains(t, out, "pewterline ")
	code, out = asks(t, nil, "dance")
	require.Equal(t, misuse, code)
	require.Contains(t, out, "dance")
	code, out = asks(t, nil, "--help")
	require.Equal(t, fine, code)
	require.Contains(t, out, "check")
}
