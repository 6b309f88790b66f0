package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// runWith runs the command in this process with environment variables, and returns its exit code and output.
func runWith(t *testing.T, variables map[string]string, args ...string) (code int, printed string) {
	t.Helper()
	var out bytes.Buffer
	code = run(args, environment{getenv: func(name string) string { return variables[name] }, out: &out, errs: &out})
	return code, out.String()
}

// The check command reports the faulty key of every invalid file, not only of the first, and exits with 1. It exits
// with 0 if all files are valid.
func TestCheckNamesEveryFault(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	env := map[string]string{
		"RELAY_CONFIG": write("config.json",
			`{"name": "a b", "listen": "127.0.0.1:1", "pool": "127.0.0.1:2", "settings": {}}`),
		"RELAY_AJP":   write("ajp.toml", "[front]\nlisten = \"here\"\n"),
		"RELAY_STORE": write("store.toml", "driver = \"paper\"\n"),
		"RELAY_FLEET": write("fleet.toml", "[edge]\ncolour = 1\n"),
	}
	code, out := runWith(t, env, "check")
	require.Equal(t, exitFailed, code)
	for _, want := range []string{
		"config.json: config: name", "ajp.toml: front.listen", "store.toml: driver", "fleet.toml: edge.colour",
	} {
		require.Contains(t, out, want)
	}
	code, out = runWith(t, nil, "check")
	require.Equal(t, exitFailed, code)
	require.Contains(t, out, "RELAY_CONFIG: not set")
	code, out = runWith(t, map[string]string{"RELAY_CONFIG": "../../example/config.json"}, "check")
	require.Equal(t, exitOK, code, out)
	require.Contains(t, out, "sound")
}

func TestOtherCommands(t *testing.T) {
	code, out := runWith(t, nil, "version")
	require.Equal(t, exitOK, code)
	require.Contains(t, out, "pewterline ")
	code, out = runWith(t, nil, "dance")
	require.Equal(t, exitUsage, code)
	require.Contains(t, out, "dance")
	code, out = runWith(t, nil, "--help")
	require.Equal(t, exitOK, code)
	require.Contains(t, out, "check")
}

// The former names of commands and flags still work, and the help does not show them.
func TestFormerNames(t *testing.T) {
	variables := map[string]string{"RELAY_ADMIN": "127.0.0.1:1"} // no process listens there
	for _, tc := range []struct {
		name string
		args []string
		code int
		want string
	}{
		{"status", []string{"copies"}, exitFailed, "no server answers"},
		{"bootstrap", []string{"copies", "found"}, exitFailed, "no server answers"},
		{"abort-change", []string{"copies", "give-up"}, exitFailed, "no server answers"},
		{"reason", []string{"copies", "remove", "7", "--why", "old"}, exitFailed, "no server answers"},
		{"confirm", []string{"copies", "force", "1", "--why", "test", "--sure"}, exitFailed, "no server answers"},
		{"unconfirmed", []string{"copies", "force", "1", "--why", "test"}, exitFailed, "--confirm"},
		{"demo", []string{"try", "--help"}, exitOK, "--log"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			code, out := runWith(t, variables, tc.args...)
			require.Equal(t, tc.code, code, out)
			require.Contains(t, out, tc.want)
		})
	}
	for _, args := range [][]string{{"--help"}, {"replication", "--help"}, {"replication", "force", "--help"}} {
		code, out := runWith(t, nil, args...)
		require.Equal(t, exitOK, code)
		for _, old := range []string{"copies", "try", "found", "give-up", "--why", "--sure"} {
			require.NotRegexp(t, `(^|\s)`+old+`(\s|=|$)`, out, args)
		}
	}
}
