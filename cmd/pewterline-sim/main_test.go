package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

func runProgram(t *testing.T, args ...string) (code int, out, errs string) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	code = run(args, &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

// The exit code distinguishes clean runs, violated invariants and invalid arguments. Error messages name the invalid
// argument or line.
func TestExitCodes(t *testing.T) {
	dir := t.TempDir()
	bad, good := filepath.Join(dir, "bad.txt"), filepath.Join(dir, "good.txt")
	require.NoError(t, os.WriteFile(bad, []byte("world seed=1 servers=1 seconds=1\nfault at=1s kind=quake\n"), 0o600))
	reload := "world seed=1 servers=1 proxies=1 seconds=1 rate=5\nfault at=500ms kind=hup node=s0\n"
	require.NoError(t, os.WriteFile(good, []byte(reload), 0o600))
	for _, test := range []struct {
		args []string
		code int
		want string // part of the output
	}{
		{[]string{"run", "--script", good}, exitClean, "simulated"},
		{[]string{"run", "--seed", "3", "--profile", "calm", "--seconds", "1", "--print"},
			exitClean, "world seed=3 profile=calm"},
		{[]string{"run", "--seed", "3", "--profile", "calm", "--seconds", "1", "--vault"}, exitClean, "call's reply: yes"},
		{[]string{"run", "--vault", "--edges", "2"}, exitUsage, "vault: not supported with edges, which forward"},
		{[]string{"run", "--script", bad}, exitUsage, "line 2: kind: unknown \"quake\""},
		{[]string{"run", "--script", filepath.Join(dir, "none")}, exitUsage, "none"},
		{[]string{"run", "--profile", "tea"}, exitUsage, "profile: unknown"},
		{[]string{"run", "--servers", "0"}, exitUsage, "servers: 0 is not within"},
		{[]string{"run", "--colour"}, exitUsage, "--colour"},
		{[]string{"search", "--seeds", "5"}, exitUsage, "--seeds"},
		{[]string{"search", "--seeds", "5..4"}, exitUsage, "--seeds"},
		{[]string{"search", "--seeds", "5.."}, exitUsage, "--duration or --max-findings"},
		{[]string{"search", "--seeds", "1..4", "--seconds", "1", "--servers", "1"}, exitClean, "4 runs"},
		{[]string{"hunt", "--seeds", "5..4"}, exitUsage, "--seeds"},
		{[]string{"hunt", "--seeds", "1..", "--for", "1ns", "--most", "1", "--seconds", "1"}, exitClean, "0 broke a rule"},
		{[]string{"routes", "--trouble", "none", "--seeds", "1", "--seconds", "1"}, exitClean, "round robin"},
		{[]string{"learn", "--seeds", "1", "--dead", "0", "--rate", "10"}, exitClean, "bytes/s"},
		{[]string{"procs", "hunt", "--config", "../../example/config.json", "--seeds", "5..4"}, exitUsage, "--seeds"},
		{[]string{"shrink", "--script", good}, exitClean, "no rule is broken"},
		{[]string{"planted"}, exitUsage, "go test -run Planted"},
		{[]string{"--help"}, exitClean, "Plays the log server"},
	} {
		code, out, errs := runProgram(t, test.args...)
		require.Equal(t, test.code, code, "%v: %s%s", test.args, out, errs)
		require.Contains(t, out+errs, test.want, "%v", test.args)
	}
}

// With --digest, the command run prints nothing but the digest. The run of a script that is read from a file has the
// same digest as the run of the same script drawn from its seed.
func TestDigestOfFileAndSeedAgree(t *testing.T) {
	args := []string{"--seed", "7", "--seconds", "2", "--servers", "2"}
	code, fromSeed, _ := runProgram(t, append([]string{"run", "--digest"}, args...)...)
	require.Equal(t, exitClean, code)
	require.Regexp(t, `^digest: [0-9a-f]{16}\n$`, fromSeed)
	_, text, _ := runProgram(t, append([]string{"run", "--print", "--digest"}, args...)...)
	file := filepath.Join(t.TempDir(), "s.txt")
	script := text[:len(text)-len(fromSeed)]
	require.NoError(t, os.WriteFile(file, []byte(script), 0o600))
	_, fromFile, _ := runProgram(t, "run", "--digest", "--script", file)
	require.Equal(t, fromSeed, fromFile)
}
