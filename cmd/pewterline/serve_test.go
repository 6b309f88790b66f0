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

// standIn is a worker pool's address: it tells of each bind that it reads, and answers it.
func standIn(t *testing.T) (addr string, binds chan string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	binds = make(chan string, 10)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = c.Close() })
			line, _ := bufio.NewReader(c).ReadString('\n')
			binds <- line
			fmt.Fprint(c, "bound LOADED 0\r\n")
		}
	}()
	return ln.Addr().String(), binds
}

// Guards against SIGHUP ending the program. A new file's addresses are taken up at once, a faulty one changes
// nothing, and SIGTERM still ends it.
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
	first, firstBinds := standIn(t)
	second, secondBinds := standIn(t)
	third, thirdBinds := standIn(t)
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
	_, _, err = reports.ReadFrom(got) // still reported to
	require.NoError(t, err)
	write(third, "")
	signal(syscall.SIGHUP)
	require.Equal(t, "bind 0\r\n", <-thirdBinds)
	require.Empty(t, firstBinds)
	require.Empty(t, secondBinds)

	signal(syscall.SIGTERM)
	require.NoError(t, <-done)
}

// atOnce is a loop that runs what it is given.
type atOnce struct{}

func (atOnce) Execute(f func()) error {
	f()
	return nil
}

// Guards a reload against a faulty file: the line names the key and says that nothing has changed, and the server
// counts it and does nothing else.
func TestFaultyFileIsNamedOnReload(t *testing.T) {
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
	signalTarget{loop: atOnce{}, server: &server.Server{}, getenv: os.Getenv}.reload(logs.logger)
	require.Contains(t, lines.String(), `ERROR reload rejected, nothing has changed {"error": "config: pool`)
}

func replaceKeys(t *testing.T, text []byte, with map[string]any) []byte {
	var all map[string]any
	require.NoError(t, json.Unmarshal(text, &all))
	maps.Copy(all, with)
	out, err := json.Marshal(all)
	require.NoError(t, err)
	return out
}
