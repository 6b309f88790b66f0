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

// buildDeployed builds the server with the build command of the deployment file, but into a temporary directory instead
// of bin. It returns the path of the program, and the run command of the deployment file.
func buildDeployed(t *testing.T) (program, run string) {
	t.Helper()
	var deploy struct{ Build, Run string }
	_, err := toml.DecodeFile("../../deploy/balancer.toml", &deploy)
	require.NoError(t, err)
	readme, err := os.ReadFile("../../README.md")
	require.NoError(t, err)
	require.Contains(t, string(readme), deploy.Build, "README.md must show the build command of the deployment file")
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

// The platform loads a library of its own into the process, so the C library must start the program. This needs an
// external linker: a program linked by Go's own linker imports the C library too, but starts in the Go runtime. The run
// command must use exec, so that the program replaces the shell. Features that are off by default must open no sockets.
func TestDeployedServer(t *testing.T) {
	program, run := buildDeployed(t)
	require.Equal(t, "exec bin/pewterline", run)
	file, err := elf.Open(program)
	require.NoError(t, err)
	defer func() { require.NoError(t, file.Close()) }()
	isInterpreter := func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP }
	require.True(t, slices.ContainsFunc(file.Progs, isInterpreter), "the program names no dynamic loader")
	libraries, err := file.ImportedLibraries()
	require.NoError(t, err)
	require.Contains(t, libraries, "libc.so.6")
	symbols, err := file.ImportedSymbols()
	require.NoError(t, err)
	require.True(t, slices.ContainsFunc(symbols, func(s elf.ImportedSymbol) bool { return s.Name == "__libc_start_main" }),
		"the C library does not start the program")

	reports, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, reports.Close()) }()
	poolAddr, binds := startFakePool(t)
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
	cmd.Dir = "../.." // paths below deploy are relative to the root
	cmd.Env = shippedEnv(path)
	cmd.Stderr = io.Discard
	require.NoError(t, cmd.Start())
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	defer func() { _ = cmd.Process.Kill() }()
	require.Equal(t, "bind 0\r\n", <-binds)
	// The three sockets are the listener, the connection to the worker pool and the socket for load reports. The event
	// loop also opens a socket during its start, but closes it again.
	var sockets []string
	require.Eventually(t, func() bool {
		sockets = openSockets(cmd.Process.Pid)
		return len(sockets) == 3
	}, 10*time.Second, 10*time.Millisecond, "%v", &sockets)
	children, err := os.ReadFile(fmt.Sprintf("/proc/%d/task/%d/children", cmd.Process.Pid, cmd.Process.Pid))
	if err == nil { // not every kernel has this file
		require.Empty(t, string(children))
	}
	t.Run("disabled features do not run", func(t *testing.T) { testDisabledFeatures(t, program, path, binds) })
	require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	require.NoError(t, <-ended)
	t.Run("stopped during startup", func(t *testing.T) { testStopDuringStartup(t, program, path) })
}

// testDisabledFeatures checks that features that are off by default run no goroutines, which would count against the
// platform's limits. At SIGQUIT the Go runtime prints the stack of each goroutine of the serving process, and the
// function that started it: none may name the store, its databases, the edge's upstream or the peer exchange.
func testDisabledFeatures(t *testing.T, program, config string, binds chan string) {
	cmd := exec.Command(program)
	cmd.Dir = "../.."
	cmd.Env = append(shippedEnv(config), "GOTRACEBACK=all")
	var log bytes.Buffer
	cmd.Stderr = &log
	require.NoError(t, cmd.Start())
	defer func() { _ = cmd.Process.Kill() }()
	require.Equal(t, "bind 0\r\n", <-binds)
	require.NoError(t, cmd.Process.Signal(syscall.SIGQUIT))
	require.Error(t, cmd.Wait(), "SIGQUIT must end the process")
	require.Contains(t, log.String(), "pewterline/internal/transport/sockets", "the event loop must be printed")
	for _, disabled := range []string{"internal/store", "database/sql", "sqlite", "pgx", "backend/upstream", "exchange"} {
		require.NotContains(t, log.String(), disabled)
	}
}

// testStopDuringStartup checks a shutdown during startup, which happens if one release quickly follows another: SIGTERM
// comes while the program still reads its configuration, here from a pipe of the test. The program must exit without
// serving, and must not be killed by the signal.
func testStopDuringStartup(t *testing.T, program, config string) {
	pipe := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, syscall.Mkfifo(pipe, 0o600))
	cmd := exec.Command(program)
	cmd.Dir = "../.."
	cmd.Env = shippedEnv(pipe)
	stderr, err := cmd.StderrPipe()
	require.NoError(t, err)
	require.NoError(t, cmd.Start())
	defer func() { _ = cmd.Process.Kill() }()
	writer, err := os.OpenFile(pipe, os.O_WRONLY, 0) // returns once the program has opened the pipe
	require.NoError(t, err)
	require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	lines := bufio.NewReader(stderr)
	line, err := lines.ReadString('\n') // returns once the program has logged the signal
	require.NoError(t, err)
	require.Contains(t, line, "told to stop")
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

// shippedEnv returns the environment of a server with the default TOML files, on a port that the kernel chooses.
func shippedEnv(config string) []string {
	return append(os.Environ(),
		"RELAY_CONFIG="+config, "RELAY_LISTEN=127.0.0.1:0", "RELAY_AJP=", "RELAY_STORE=", "RELAY_FLEET=")
}

// openSockets returns the open sockets of a process.
func openSockets(pid int) (sockets []string) {
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	entries, _ := os.ReadDir(dir) // no sockets if the directory cannot be read
	for _, entry := range entries {
		if target, err := os.Readlink(filepath.Join(dir, entry.Name())); err == nil && strings.HasPrefix(target, "socket:") {
			sockets = append(sockets, target)
		}
	}
	return sockets
}
