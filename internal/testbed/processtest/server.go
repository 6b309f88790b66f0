package processtest

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
)

// Default configuration values of each process.
const (
	defaultName = "n0"
	configSeed  = "8c1f30d27a5be964"
	coreLimit   = 1.0
	socketLimit = 512
)

// Server is one server. Several processes of it may run at once: an upgrade starts a second one.
type Server struct {
	Program         string // the path of the program, as Build returns it
	Dir             string // the working and temporary folder of its processes
	Listen          string
	Settings        json.RawMessage
	StopMS          int
	MemoryMB        int
	Name            string // "": n0
	StoreFile       string // the configuration file of the store of record; "": none
	ReplicationFile string // the replication file; "": the server does not replicate
	VaultAddress    string // of the vault that requests call; "": none
	RunLog          *RunLog

	mu        sync.Mutex
	processes []*Process // all processes started, oldest first
}

// Start starts a process with a worker pool of its own. change may alter the configuration before it is written, and
// may make it invalid to test that the program rejects it. The process runs until it exits by itself or Close kills it.
func (s *Server) Start(change func(config map[string]any)) (*Process, error) {
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
	config := s.config(admin, pool.Addr())
	if change != nil {
		change(config)
	}
	configFile := filepath.Join(s.Dir, fmt.Sprintf("config-%s.json", strings.ReplaceAll(admin, ":", "-")))
	process := &Process{Admin: admin, Pool: pool, Config: configFile, done: make(chan struct{})}
	if err := process.WriteConfig(config); err != nil {
		pool.Close()
		return nil, err
	}
	process.command = s.command(process)
	if err := process.command.Start(); err != nil {
		pool.Close()
		return nil, fmt.Errorf("processtest: start %s: %w", s.Program, err)
	}
	// The process owns this goroutine, which ends with it.
	go process.reap()
	s.mu.Lock()
	s.processes = append(s.processes, process)
	s.mu.Unlock()
	return process, nil
}

func (s *Server) config(admin, pool string) map[string]any {
	name := s.Name
	if name == "" {
		name = defaultName
	}
	config := map[string]any{
		"name":     name,
		"listen":   s.Listen,
		"pool":     pool,
		"admin":    admin,
		"stop_ms":  s.StopMS,
		"seed":     configSeed,
		"limits":   map[string]any{"cores": coreLimit, "memory_mb": s.MemoryMB, "sockets": socketLimit},
		"settings": s.Settings,
	}
	if s.VaultAddress != "" {
		config["vault"] = s.VaultAddress
	}
	return config
}

// command returns the command of a process. Its environment overrides all settings of the program that the environment
// of the test contains.
func (s *Server) command(process *Process) *exec.Cmd {
	command := exec.Command(s.Program)
	command.Env = append(os.Environ(),
		"TMPDIR="+s.Dir,
		"RELAY_CONFIG="+process.Config,
		"RELAY_NAME=",
		"RELAY_LISTEN=",
		"RELAY_ADMIN=",
		"RELAY_AJP=",
		"RELAY_STORE="+s.StoreFile,
		"RELAY_COPIES="+s.ReplicationFile,
		"RELAY_FLEET=",
		"WALL_FAULT="+filepath.Join(s.Dir, wallClockFile),
	)
	command.Dir = s.Dir
	command.Stderr = &process.log
	return command
}

// Processes returns all processes started so far, oldest first.
func (s *Server) Processes() []*Process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.processes)
}

// Close kills all processes that still run. It returns an error if one does not exit.
func (s *Server) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	var errs []error
	for _, process := range s.processes {
		if process.Ended() {
			continue
		}
		// Signal fails if the process has just exited; Wait reports whether it has.
		_ = process.Signal(syscall.SIGKILL)
		err := process.Wait()
		var exit *exec.ExitError
		if err != nil && !errors.As(err, &exit) {
			errs = append(errs, err)
		}
	}
	return errors.Join(errs...)
}
