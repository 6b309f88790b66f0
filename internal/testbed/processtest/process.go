// Package processtest starts real processes of the program for tests, with stand-ins for their worker pools, the vault and callers,
// and ends only what it started. All addresses are ephemeral ports of the loopback.
package processtest

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Patience is how long the rig waits for what has to come. It is no verdict on time: it only ends a test that hangs.
const Patience = 30 * time.Second

// Build builds the program from the module's root into dir and returns its path.
func Build(root, dir string, tags ...string) (string, error) {
	path := filepath.Join(dir, "pewterline")
	cmd := exec.Command("go", "build", "-tags", strings.Join(tags, ","), "-o", path, "./cmd/pewterline")
	cmd.Dir = root
	if out, err := cmd.CombinedOutput(); err != nil {
		return "", fmt.Errorf("procs: build: %w: %s", err, out)
	}
	return path, nil
}

// Server is one log server, of which several processes may live at once.
type Server struct {
	Program         string
	Dir             string // $TMPDIR of its processes
	Listen          string
	Settings        json.RawMessage
	StopMS          int
	MemoryMB        int
	Name            string // "": n0
	StoreFile       string // the file that names a store of record; "": none
	ReplicationFile string // the file that names a group that holds copies; "": none
	VaultAddress    string // its address, for settings with calls; "": none
	RunLog          *RunLog
	mu              sync.Mutex
	all             []*Process
}

// Process is one process of a log server, with its own address of the worker pool.
type Process struct {
	Admin, Config string
	Pool          *Pool
	cmd           *exec.Cmd
	log           safeBuffer
	done          chan struct{}
	err           error
}

type safeBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *safeBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *safeBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

// ports are given out once each, from below those that the system gives to connections: guards a server that is to listen against a
// connection of another test's that got its port meanwhile. Tests of other packages begin elsewhere.
var ports atomic.Uint32

const (
	portFirst = 10_000
	portCount = 22_000
)

func init() { ports.Store(rand.Uint32N(portCount)) }

// FreeAddress is an address of the loopback on which nothing listens now.
func FreeAddress() (string, error) {
	for range portCount {
		addr := fmt.Sprintf("127.0.0.1:%d", portFirst+ports.Add(1)%portCount)
		if ln, err := net.Listen("tcp", addr); err == nil {
			return addr, ln.Close()
		}
	}
	return "", errors.New("procs: no port is free")
}

// Start starts a process. change may alter its configuration.
func (s *Server) Start(change func(map[string]any)) (*Process, error) {
	admin, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	pool, err := NewPool(s.RunLog)
	if err != nil {
		return nil, err
	}
	for _, class := range callingClasses(s.Settings) {
		pool.SetCallsPerRun(class, 1)
	}
	name := s.Name
	if name == "" {
		name = "n0"
	}
	cfg := map[string]any{"name": name, "listen": s.Listen, "pool": pool.Addr(), "admin": admin, "stop_ms": s.StopMS, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": s.MemoryMB, "sockets": 512}, "settings": s.Settings}
	if s.VaultAddress != "" {
		cfg["vault"] = s.VaultAddress
	}
	if change != nil {
		change(cfg)
	}
	p := &Process{Admin: admin, Pool: pool, done: make(chan struct{})}
	p.Config = filepath.Join(s.Dir, fmt.Sprintf("config-%s.json", strings.ReplaceAll(admin, ":", "-")))
	if err := p.WriteConfig(cfg); err != nil {
		return nil, err
	}
	p.cmd = exec.Command(s.Program)
	p.cmd.Env = append(os.Environ(), "TMPDIR="+s.Dir, "RELAY_CONFIG="+p.Config, "RELAY_NAME=", "RELAY_LISTEN=", "RELAY_ADMIN=", "RELAY_AJP=", "RELAY_STORE="+s.StoreFile, "RELAY_COPIES="+s.ReplicationFile, "RELAY_FLEET=", "WALL_FAULT="+filepath.Join(s.Dir, "wall"))
	p.cmd.Dir = s.Dir
	p.cmd.Stderr = &p.log
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("procs: start: %w", err)
	}
	go func() {
		p.err = p.cmd.Wait()
		pool.Close()
		close(p.done)
	}()
	s.mu.Lock()
	s.all = append(s.all, p)
	s.mu.Unlock()
	return p, nil
}

// startClass is what the rig reads of the settings of a class.
type startClass struct {
	Name string `json:"name"`
}

// callingClasses are the classes whose requests call the vault; of settings that can't be read there are none.
func callingClasses(settings json.RawMessage) (names []string) {
	var set struct {
		Classes []startClass `json:"classes"`
		Extra   struct {
			Downstream string `json:"downstream"`
			ClassCalls []bool `json:"class_calls"`
		} `json:"extra"`
	}
	if json.Unmarshal(settings, &set) != nil || set.Extra.Downstream != "tier" {
		return nil
	}
	for i, class := range set.Classes {
		if i < len(set.Extra.ClassCalls) && set.Extra.ClassCalls[i] {
			names = append(names, class.Name)
		}
	}
	return names
}

// vaultFor opens a vault where requests call one under some settings; else there is none.
func vaultFor(settings json.RawMessage) (*Vault, error) {
	if len(callingClasses(settings)) == 0 {
		return nil, nil
	}
	return NewVault()
}

// WithCalls are settings under which requests of some classes call the vault.
func WithCalls(settings json.RawMessage, classes ...string) (json.RawMessage, error) {
	var set map[string]any
	if err := json.Unmarshal(settings, &set); err != nil {
		return nil, fmt.Errorf("procs: settings: %w", err)
	}
	all, _ := set["classes"].([]any)
	calls := make([]bool, len(all))
	for i, c := range all {
		class, _ := c.(map[string]any)
		name, _ := class["name"].(string)
		calls[i] = slices.Contains(classes, name)
	}
	extra, _ := set["extra"].(map[string]any)
	if extra == nil {
		return nil, errors.New("procs: settings: no extra")
	}
	extra["downstream"], extra["class_calls"] = "tier", calls
	return json.Marshal(set)
}

// WriteConfig writes the configuration file anew.
func (p *Process) WriteConfig(cfg any) error {
	text, err := json.Marshal(cfg)
	if err != nil {
		return err
	}
	return os.WriteFile(p.Config, text, 0o600)
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// Stall stops the process and returns once each of its threads stands still: the signal alone is on its way, and what comes next
// might still be read.
func (p *Process) Stall() error {
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	for until := time.Now().Add(Patience); time.Now().Before(until); runtime.Gosched() {
		stats, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.PID()))
		if err != nil {
			return err
		}
		still := len(stats) > 0
		for _, path := range stats {
			text, _ := os.ReadFile(path) // a thread may have ended
			_, state, _ := strings.Cut(string(text), ") ")
			still = still && strings.HasPrefix(state, "T")
		}
		if still {
			return nil
		}
	}
	return errors.New("procs: the process does not stand still")
}

// Wait waits for the process's end and returns how it exited.
func (p *Process) Wait() error {
	select {
	case <-p.done:
		return p.err
	case <-time.After(Patience):
		return errors.New("procs: the process has not ended")
	}
}

// Ended says that the process is gone.
func (p *Process) Ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// PID is the number of the process.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Memory is what the process holds in memory now, in bytes; 0 where the system does not tell.
func (p *Process) Memory() (bytes int) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID()))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if n, _ := fmt.Sscanf(line, "VmRSS: %d kB", &bytes); n == 1 {
			return bytes << 10
		}
	}
	return 0
}

// Log is what the process has logged.
func (p *Process) Log() string { return p.log.String() }

// AdminCall has an operator call; it returns the status and the body.
func (p *Process) AdminCall(method, path string) (int, string, error) {
	req, err := http.NewRequest(method, "http://"+p.Admin+path, nil)
	if err != nil {
		return 0, "", err
	}
	res, err := (&http.Client{Timeout: Patience, Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return 0, "", err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return res.StatusCode, string(body), err
}

// Ready waits until the process says that it takes clients.
func (p *Process) Ready() error {
	for until := time.Now().Add(Patience); time.Now().Before(until); time.Sleep(2 * time.Millisecond) {
		if p.Ended() {
			return fmt.Errorf("procs: the process has ended: %w\n%s", p.err, p.Log())
		}
		if status, _, err := p.AdminCall(http.MethodGet, "/control/ready"); err == nil && status == http.StatusOK {
			return nil
		}
	}
	return errors.New("procs: not ready\n" + p.Log())
}

// processes are all that were started.
func (s *Server) processes() []*Process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.all)
}

// Close ends all processes that were started. It is an error if one would not die.
func (s *Server) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	var errs []error
	for _, p := range s.all {
		if p.Ended() {
			continue
		}
		_ = p.Signal(syscall.SIGKILL)
		if err := p.Wait(); err != nil {
			var exit *exec.ExitError
			if !errors.As(err, &exit) {
				errs = append(errs, err)
			}
		}
	}
	return errors.Join(errs...)
}
