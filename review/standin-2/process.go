package main

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"time"

	"pewterline/example"
	"pewterline/internal/testbed/processtest"
)

const (
	// runCommand is the command of the deploy file; it starts from the root of the repository.
	runCommand = "exec bin/pewterline"
	// readyLimit is how long a new process may take until it accepts clients.
	readyLimit = 30 * time.Second
	// adminTimeout is how long an operators' call may take.
	adminTimeout = 5 * time.Second
	// stopMS is the time from SIGTERM to SIGKILL, as on the platform.
	stopMS = 3200
	// memoryMB and sockets are the limits of a process on the platform.
	memoryMB = 192
	sockets  = 384
	// poolCores is the number of cores of a worker pool, as on the site's machines.
	poolCores = 6
)

// process is one process of the program.
type process struct {
	world   *world
	name    string
	listen  string
	admin   string
	logPath string
	command *exec.Cmd
	done    chan struct{} // closed once the process has ended
}

// startOptions configure a process.
type startOptions struct {
	name   string
	listen string // "": a free address
	pool   string // address of the worker pool; "": none
	dir    string // TMPDIR, shared by the processes of an upgrade; "": one of its own
	cores  int    // behind the process; 0: poolCores
	env    []string
	prefix string // of the command, such as a limit of the shell
}

// siteSettings returns the settings of the example, which are those of a small deployment, without calls.
func siteSettings(cores int) (map[string]any, error) {
	var file struct {
		Settings map[string]any `json:"settings"`
	}
	if err := json.Unmarshal(example.Config, &file); err != nil {
		return nil, err
	}
	extra, ok := file.Settings["extra"].(map[string]any)
	if !ok {
		return nil, errors.New("the example's settings have no extra")
	}
	extra["downstream"] = "none"
	extra["class_calls"] = []bool{false, false, false}
	extra["cores"] = cores
	return file.Settings, nil
}

// start starts a process with the command of the deploy file.
func (w *world) start(options startOptions) (*process, error) {
	admin, err := processtest.FreeAddress()
	if err != nil {
		return nil, err
	}
	if options.listen == "" {
		if options.listen, err = processtest.FreeAddress(); err != nil {
			return nil, err
		}
	}
	w.mu.Lock()
	number := len(w.processes)
	w.mu.Unlock()
	if options.dir == "" {
		options.dir = w.path(fmt.Sprintf("t%d", number))
	}
	if err := os.MkdirAll(options.dir, 0o700); err != nil {
		return nil, err
	}
	configPath := w.path(fmt.Sprintf("config%d.json", number))
	if err := writeConfig(configPath, options, admin); err != nil {
		return nil, err
	}
	started := &process{
		world: w, name: fmt.Sprintf("%s-%d", options.name, number), listen: options.listen, admin: admin,
		logPath: w.path(fmt.Sprintf("log%d", number)), done: make(chan struct{}),
	}
	log, err := os.Create(started.logPath)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	started.command = exec.Command("/bin/sh", "-c", options.prefix+runCommand)
	started.command.Env = append(os.Environ(), "TMPDIR="+options.dir, "RELAY_CONFIG="+configPath, "RELAY_NAME=",
		"RELAY_LISTEN=", "RELAY_ADMIN=", "RELAY_AJP=", "RELAY_STORE=", "RELAY_FLEET=", "RELAY_COPIES=", "RELAY_LOG=")
	started.command.Env = append(started.command.Env, options.env...)
	started.command.Stdout, started.command.Stderr = log, log
	if err := started.command.Start(); err != nil {
		return nil, err
	}
	go func() { // ends with the process
		_ = started.command.Wait() // the play looks at what the process did, not at its exit code
		close(started.done)
	}()
	w.mu.Lock()
	w.processes = append(w.processes, started)
	w.mu.Unlock()
	w.notef("started %s, listen %s, admin %s", started.name, started.listen, started.admin)
	return started, nil
}

func writeConfig(path string, options startOptions, admin string) error {
	settings, err := siteSettings(cmp.Or(options.cores, poolCores))
	if err != nil {
		return err
	}
	config := map[string]any{
		"name": options.name, "listen": options.listen, "admin": admin, "seed": "8c1f30d27a5be964", "stop_ms": stopMS,
		"limits":   map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": sockets},
		"settings": settings,
	}
	if options.pool != "" {
		config["pool"] = options.pool
	}
	text, err := json.Marshal(config)
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o600)
}

// startReady starts a process and waits until it accepts clients.
func (w *world) startReady(options startOptions) (*process, error) {
	p, err := w.start(options)
	if err != nil {
		return nil, err
	}
	return p, p.awaitReady()
}

// awaitReady waits until the process answers yes to the operators' ready call. It returns an error once the process has
// ended.
func (p *process) awaitReady() error {
	err := eventually(readyLimit, func() error {
		if p.ended() {
			return nil
		}
		_, err := p.call(http.MethodGet, "/control/ready")
		return err
	})
	if err == nil && p.ended() {
		log, _ := os.ReadFile(p.logPath) // a missing log only shortens the error
		err = fmt.Errorf("%s has ended: %s", p.name, strings.TrimSpace(string(log)))
	}
	return err
}

// call makes an operators' call and returns the body of the answer. An answer other than 2xx is an error.
func (p *process) call(method, path string) (string, error) {
	request, err := http.NewRequest(method, "http://"+p.admin+path, nil)
	if err != nil {
		return "", err
	}
	client := &http.Client{Timeout: adminTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(response.Body)
	if err = errors.Join(err, response.Body.Close()); err != nil {
		return "", err
	}
	if response.StatusCode/100 != 2 {
		return "", fmt.Errorf("%s %s: status %d: %s", method, path, response.StatusCode, body)
	}
	return string(body), nil
}

// signal sends a signal to the process.
func (p *process) signal(signal syscall.Signal) error {
	p.world.notef("%s to %s", signalName(signal), p.name)
	return p.command.Process.Signal(signal)
}

// ended reports whether the process has ended.
func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// awaitEnd waits until the process has ended, for a limit at most, and reports whether it has.
func (p *process) awaitEnd(limit time.Duration) bool {
	select {
	case <-p.done:
		p.world.notef("%s has ended", p.name)
		return true
	case <-time.After(limit):
		return false
	}
}

// kill ends the process if it still runs. The shell has replaced itself by the program, so there is one process only.
func (p *process) kill() {
	if p.ended() {
		return
	}
	_ = p.command.Process.Kill() // fails only if the process has just ended
	<-p.done
}

// writeStoreFile writes a file that names an SQLite database as the store of record.
func writeStoreFile(path, database string) error {
	return os.WriteFile(path, fmt.Appendf(nil, "driver = \"sqlite\"\ndsn = %q\n", database), 0o600)
}
