package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

func call(t *testing.T, args ...string) (code int, out, errs string) {
	t.Helper()
	var o, e bytes.Buffer
	code = run(args, &o, &e)
	return code, o.String(), e.String()
}

// The exit code tells a clean run, a broken rule and bad arguments apart; an error names what is wrong.
func TestExitCodes(t *testing.T) {
	dir := t.TempDir()
	bad, good := filepath.Join(dir, "bad.txt"), filepath.Join(dir, "good.txt")
	require.NoError(t, os.WriteFile(bad, []byte("world seed=1 servers=1 seconds=1\nfault at=1s kind=quake\n"), 0o600))
	require.NoError(t, os.WriteFile(good, []byte("world seed=1 servers=1 proxies=1 seconds=1 rate=5\nfault at=500ms kind=hup node=s0\n"), 0o600))
	for _, c := range []struct {
		args []string
		code int
		says string
	}{
		{[]string{"run", "--script", good}, clean, "simulated"},
		{[]string{"run", "--seed", "3", "--profile", "calm", "--seconds", "1", "--print"}, clean, "world seed=3 profile=calm"},
		{[]string{"run", "--seed", "3", "--profile", "calm", "--seconds", "1", "--vault"}, clean, "call's reply: yes"},
		{[]string{"run", "--vault", "--edges", "2"}, faulty, "vault: edges pass work on"},
		{[]string{"run", "--script", bad}, faulty, "line 2: kind: unknown \"quake\""},
		{[]string{"run", "--script", filepath.Join(dir, "none")}, faulty, "none"},
		{[]string{"run", "--profile", "tea"}, faulty, "profile: unknown"},
		{[]string{"run", "--servers", "0"}, faulty, "servers: 0 is not within"},
		{[]string{"run", "--colour"}, faulty, "--colour"},
		{[]string{"hunt", "--seeds", "5"}, faulty, "--seeds"},
		{[]string{"hunt", "--seeds", "5..4"}, faulty, "--seeds"},
		{[]string{"hunt", "--seeds", "5.."}, faulty, "--for or --most"},
		{[]string{"hunt", "--seeds", "1..4", "--seconds", "1", "--servers", "1"}, clean, "4 runs"},
		{[]string{"shrink", "--script", good}, clean, "no rule is broken"},
		{[]string{"planted"}, faulty, "-tags planted"},
		{[]string{"--help"}, clean, "Plays the log server"},
	} {
		code, out, errs := call(t, c.args...)
		require.Equal(t, c.code, code, "%v: %s%s", c.args, out, errs)
		require.Contains(t, out+errs, c.says, "%v", c.args)
	}
}

// The digest is one line and nothing else, and the same for the same script from a file as from its seed.
func TestDigest(t *testing.T) {
	args := []string{"--seed", "7", "--seconds", "2", "--servers", "2"}
	code, one, _ := call(t, append([]string{"run", "--digest"}, args...)...)
	require.Equal(t, clean, code)
	require.Regexp(t, `^digest: [0-9a-f]{16}\n$`, one)
	_, text, _ := call(t, append([]string{"run", "--print", "--digest"}, args...)...)
	file := filepath.Join(t.TempDir(), "s.txt")
	script := text[:len(text)-len(one)]
	require.NoError(t, os.WriteFile(file, []byte(script), 0o600))
	_, two, _ := call(t, "run", "--digest", "--script", file)
	require.Equal(t, one, two)
}
