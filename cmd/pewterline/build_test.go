package main

import (
	"bufio"
	"bytes"
	"debug/elf"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/stretchr/testify/require"
)

// built builds the server by the deploy file's own line, into a folder of the test's in place of bin.
func built(t *testing.T) (program, run string) {
	t.Helper()
	var deploy struct{ Build, Run string }
	_, err := toml.DecodeFile("../../deploy/balancer.toml", &deploy)
	require.NoError(t, err)
	readme, err := os.ReadFile("../../README.md")
	require.NoError(t, err)
	require.Contains(t, string(readme), deploy.Build, "README tells another build")
	words := strings.Fields(deploy.Build)
	require.Contains(t, words, "bin/", deploy.Build)
	dir := t.TempDir()
	for i, w := range words {
		if w == "bin" || w == "bin/" {
			words[i] = dir + strings.TrimPrefix(w, "bin")
		}
	}
	cmd := exec.Command("/bin/sh", "-c", strings.Join(words, " "))
	cmd.Dir = "../.."
	out, err := cmd.CombinedOutput()
	require.NoError(t, err, string(out))
	return filepath.Join(dir, "pewterline"), deploy.Run
}

// Guards the start on a platform that loads a library of its own into the process: that takes a program which the C
// library starts, so one linked externally. A program linked by Go's own linker names the C library too, but its first
// instruction is the runtime's. run is one process, by exec; what ships as off holds no socket.
func TestDeployedServer(t *testing.T) {
	program, run := built(t)
	require.Equal(t, "exec bin/pewterline", run)
	file, err := elf.Open(program)
	require.NoError(t, err)
	defer func() { require.NoError(t, file.Close()) }()
	isInterpreter := func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP }
	require.True(t, slices.ContainsFunc(file.Progs, isInterpreter), "no interpreter")
	libraries, err := file.ImportedLibraries()
	require.NoError(t, err)
	require.Contains(t, libraries, "libc.so.6")
	symbols, err := file.ImportedSymbols()
	require.NoError(t, err)
	require.True(t, slices.ContainsFunc(symbols, func(s elf.ImportedSymbol) bool { return s.Name == "__libc_start_main" }),
		"the C library does not start it")

	reports, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, reports.Close()) }()
	poolAddr, binds := standIn(t)
	text, err := os.ReadFile("../../internal/config/testdata/config.json")
	require.NoError(t, err)
	path := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(path, replaceKeys(t, text, map[string]any{
		"pool":    poolAddr,
		"control": reports.LocalAddr().String(),
		"stop_ms": 100,
		"limits":  json.RawMessage(`{"cores": 1, "memory_mb": 48, "sockets": 384}`),
	}), 0o600))
	cmd := exec.Command("/bin/sh", "-c", "exec "+program)
	cmd.Dir = "../.." // the files under deploy are found from the root
	cmd.Env = shippedEnv(path)
	cmd.Stderr = io.Discard
	require.NoError(t, cmd.Start())
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	defer func() { _ = cmd.Process.Kill() }()
	require.Equal(t, "bind 0\r\n", <-binds)
	// One listener, the pool's link and the socket for reports; the loop's own, by which it starts, is closed again.
	var sockets []string
	require.Eventually(t, func() bool {
		sockets = openSockets(cmd.Process.Pid)
		return len(sockets) == 3
	}, 10*time.Second, 10*time.Millisecond, "%v", &sockets)
	children, err := os.ReadFile(fmt.Sprintf("/proc/%d/task/%d/children", cmd.Process.Pid, cmd.Process.Pid))
	if err == nil { // not every kernel tells
		require.Empty(t, string(children))
	}
	t.Run("what is off does not run", func(t *testing.T) { offMeansOff(t, program, path, binds) })
	require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	require.NoError(t, <-ended)
	t.Run("told to stop while it starts", func(t *testing.T) { stopAtTheStart(t, program, path) })
}

// offMeansOff guards the platform's limits against what ships as off: of a server at work, whose goroutines SIGQUIT has
// the runtime print, none is of the store, its databases, the edge's runner or the exchange, nor was one started by
// them.
func offMeansOff(t *testing.T, program, config string, binds chan string) {
	cmd := exec.Command(program)
	cmd.Dir = "../.."
	cmd.Env = append(shippedEnv(config), "GOTRACEBACK=all")
	var log bytes.Buffer
	cmd.Stderr = &log
	require.NoError(t, cmd.Start())
	defer func() { _ = cmd.Process.Kill() }()
	require.Equal(t, "bind 0\r\n", <-binds)
	require.NoError(t, cmd.Process.Signal(syscall.SIGQUIT))
	require.Error(t, cmd.Wait(), "it ends by the signal")
	require.Contains(t, log.String(), "pewterline/internal/transport/sockets", "the loop is among them")
	for _, off := range []string{"internal/store", "database/sql", "sqlite", "pgx", "backend/upstream", "exchange"} {
		require.NotContains(t, log.String(), off)
	}
}

// stopAtTheStart guards against a release that overtakes itself: the notice to leave finds a program that still reads
// its configuration, here from a pipe that the test holds. It ends as told, and is not killed; nobody could reach it
// before.
func stopAtTheStart(t *testing.T, program, config string) {
	pipe := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, syscall.Mkfifo(pipe, 0o600))
	cmd := exec.Command(program)
	cmd.Dir = "../.."
	cmd.Env = shippedEnv(pipe)
	stderr, err := cmd.StderrPipe()
	require.NoError(t, err)
	require.NoError(t, cmd.Start())
	defer func() { _ = cmd.Process.Kill() }()
	writer, err := os.OpenFile(pipe, os.O_WRONLY, 0) // returns once the program has opened it
	require.NoError(t, err)
	require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	lines := bufio.NewReader(stderr)
	heard, err := lines.ReadString('\n') // it has the notice
	require.NoError(t, err)
	require.Contains(t, heard, "told to stop")
	text, err := os.ReadFile(config)
	require.NoError(t, err)
	_, err = writer.Write(text)
	require.NoError(t, err)
	require.NoError(t, writer.Close())
	log, err := io.ReadAll(lines)
	require.NoError(t, err)
	require.NoError(t, cmd.Wait(), string(log))
	require.Contains(t, string(log), "told to stop before serving")
	require.NotContains(t, string(log), "INFO serving")
}

// shippedEnv returns the environment of a server with the TOML files that ship, on a port of its own.
func shippedEnv(config string) []string {
	return append(os.Environ(),
		"RELAY_CONFIG="+config, "RELAY_LISTEN=127.0.0.1:0", "RELAY_AJP=", "RELAY_STORE=", "RELAY_FLEET=")
}

// openSockets are those that a process holds.
func openSockets(pid int) (sockets []string) {
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	entries, _ := os.ReadDir(dir) // without any, it holds none
	for _, e := range entries {
		if to, err := os.Readlink(filepath.Join(dir, e.Name())); err == nil && strings.HasPrefix(to, "socket:") {
			sockets = append(sockets, to)
		}
	}
	return sockets
}
