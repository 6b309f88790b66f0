package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/server"
)

// startFakePool starts a fake worker pool. It reads the bind command of each connection, sends the command to the
// channel binds, and answers it.
func startFakePool(t *testing.T) (addr string, binds chan string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	binds = make(chan string, 10)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
			line, _ := bufio.NewReader(conn).ReadString('\n')
			binds <- line
			fmt.Fprint(conn, "bound LOADED 0\r\n")
		}
	}()
	return ln.Addr().String(), binds
}

// SIGHUP must reload the configuration file without ending the program. The addresses of a valid file are used at once,
// and an invalid file changes nothing. SIGTERM still ends the program afterwards.
func TestSignals(t *testing.T) {
	text, err := os.ReadFile("../../internal/config/testdata/config.json")
	require.NoError(t, err)
	path := filepath.Join(t.TempDir(), "config.json")
	t.Setenv("RELAY_CONFIG", path)
	t.Setenv("RELAY_LISTEN", "127.0.0.1:0")
	t.Setenv("RELAY_AJP", "../../deploy/ajp.toml")
	t.Setenv("RELAY_STORE", "../../deploy/store.toml")
	write := func(pool, control string) {
		file := replaceKeys(t, text, map[string]any{"pool": pool, "control": control, "stop_ms": 100})
		require.NoError(t, os.WriteFile(path, file, 0o600))
	}
	signal := func(s syscall.Signal) { require.NoError(t, syscall.Kill(os.Getpid(), s)) }

	reports, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, reports.Close()) })
	first, firstBinds := startFakePool(t)
	second, secondBinds := startFakePool(t)
	third, thirdBinds := startFakePool(t)
	write(first, "")
	done := make(chan error, 1)
	go func() { done <- serve(os.Getenv, io.Discard) }()
	require.Equal(t, "bind 0\r\n", <-firstBinds)

	write(second, reports.LocalAddr().String())
	signal(syscall.SIGHUP)
	require.Equal(t, "bind 0\r\n", <-secondBinds)
	got := make([]byte, 100)
	n, _, err := reports.ReadFrom(got)
	require.NoError(t, err)
	require.Contains(t, string(got[:n]), " Ready")

	write("nowhere", "")
	signal(syscall.SIGHUP)
	_, _, err = reports.ReadFrom(got) // reports are still sent to the address of the last valid file
	require.NoError(t, err)
	write(third, "")
	signal(syscall.SIGHUP)
	require.Equal(t, "bind 0\r\n", <-thirdBinds)
	require.Empty(t, firstBinds)
	require.Empty(t, secondBinds)

	signal(syscall.SIGTERM)
	require.NoError(t, <-done)
}

// immediateExecutor is an executor that runs functions at once, on the caller's goroutine.
type immediateExecutor struct{}

func (immediateExecutor) Execute(f func()) error {
	f()
	return nil
}

// A reload of an invalid file must change nothing: the log line names the invalid key, and the server only counts the
// failed reload.
func TestInvalidFileIsRejectedOnReload(t *testing.T) {
	text, err := os.ReadFile("../../internal/config/testdata/config.json")
	require.NoError(t, err)
	path := filepath.Join(t.TempDir(), "config.json")
	t.Setenv("RELAY_CONFIG", path)
	t.Setenv("RELAY_AJP", "../../deploy/ajp.toml")
	t.Setenv("RELAY_STORE", "../../deploy/store.toml")
	require.NoError(t, os.WriteFile(path, replaceKeys(t, text, map[string]any{"pool": "nowhere"}), 0o600))
	var lines bytes.Buffer
	logs, err := newLogs(logFormText, &lines)
	require.NoError(t, err)
	signalTarget{loop: immediateExecutor{}, server: &server.Server{}, getenv: os.Getenv}.reload(logs.logger)
	require.Contains(t, lines.String(), `ERROR reload rejected, nothing has changed {"error": "config: pool`)
}

// replaceKeys returns a JSON object with the values of some keys replaced.
func replaceKeys(t *testing.T, text []byte, replacements map[string]any) []byte {
	var object map[string]any
	require.NoError(t, json.Unmarshal(text, &object))
	maps.Copy(object, replacements)
	replaced, err := json.Marshal(object)
	require.NoError(t, err)
	return replaced
}
