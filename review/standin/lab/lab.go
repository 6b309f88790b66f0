// Package lab holds the stand-ins of the review's cases: a proxy, a worker pool, a link that stalls and a log server,
// written from the protocol pages, and the start of the program by the command of its deploy file.
package lab

import (
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
	"regexp"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	Held     = 0
	Broken   = 1
	CouldNot = 2
)

// Lab is one run of a case: its record, its temporary folder and its processes.
type Lab struct {
	Trouble bool // false: without the disruption
	Folder  string

	root      string
	began     time.Time
	mu        sync.Mutex
	record    *os.File
	processes []*Process
}

// Main runs a case and exits with its code. The case's folder is the first argument, the repository's root the second.
func Main(run func(*Lab) (broken string, err error)) {
	l := &Lab{Trouble: os.Getenv("TROUBLE") != "0", began: time.Now()}
	os.Exit(l.main(run))
}

func (l *Lab) main(run func(*Lab) (broken string, err error)) int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: driver FOLDER ROOT")
		return CouldNot
	}
	var err error
	if l.root, err = filepath.Abs(os.Args[2]); err == nil {
		l.record, err = os.Create(filepath.Join(os.Args[1], "record.txt"))
	}
	if err == nil {
		l.Folder, err = os.MkdirTemp("", "review-")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return CouldNot
	}
	defer func() { _ = os.RemoveAll(l.Folder) }()
	defer l.endAll()
	time.AfterFunc(115*time.Second, func() {
		l.Note("verdict: the case took too long")
		l.endAll()
		os.Exit(CouldNot)
	})
	broken, err := run(l)
	switch {
	case err != nil:
		l.Note("verdict: the case could not run: %v", err)
		return CouldNot
	case broken != "":
		l.Note("verdict: BROKEN: %s", broken)
		return Broken
	}
	l.Note("verdict: the rule held")
	return Held
}

// Note writes a line to the record and to standard output.
func (l *Lab) Note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(l.began).Seconds(), fmt.Sprintf(format, args...))
	_, _ = l.record.WriteString(line)
	fmt.Print(line)
}

// Port returns a free address on the loopback interface.
func Port() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// NewID returns a new id of a try, of 16 hex digits.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// NewKey returns a new value of the field once.
func NewKey() string { return fmt.Sprintf("%016x%016x", rand.Uint64(), rand.Uint64()) }

// Process is one process of the program.
type Process struct {
	Name    string
	command *exec.Cmd
	done    chan struct{}
}

// runCommand returns the command of the deploy file that starts a log server.
func (l *Lab) runCommand() (string, error) {
	text, err := os.ReadFile(filepath.Join(l.root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	match := regexp.MustCompile(`(?m)^run = "([^"]+)"`).FindSubmatch(text)
	if match == nil {
		return "", errors.New("deploy/balancer.toml has no run command")
	}
	return string(match[1]), nil
}

// Start starts a process of the program with the given variables. Its log goes to the temporary folder.
func (l *Lab) Start(name string, environment ...string) (*Process, error) {
	run, err := l.runCommand()
	if err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(l.Folder, name+".log"))
	if err != nil {
		return nil, err
	}
	p := &Process{Name: name, command: exec.Command("/bin/sh", "-c", run), done: make(chan struct{})}
	p.command.Dir, p.command.Stdout, p.command.Stderr = l.root, log, log
	p.command.Env = append(os.Environ(), "TMPDIR="+l.Folder)
	p.command.Env = append(p.command.Env, environment...)
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	l.mu.Lock()
	l.processes = append(l.processes, p)
	l.mu.Unlock()
	go func() {
		_ = p.command.Wait()
		close(p.done)
	}()
	return p, nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(signal os.Signal) error { return p.command.Process.Signal(signal) }

// Ended reports whether the process ends within the time.
func (p *Process) Ended(within time.Duration) bool {
	select {
	case <-p.done:
		return true
	case <-time.After(within):
		return false
	}
}

func (l *Lab) endAll() {
	l.mu.Lock()
	processes := l.processes
	l.mu.Unlock()
	for _, p := range processes {
		_ = p.command.Process.Kill()
		p.Ended(5 * time.Second)
		if text, err := os.ReadFile(filepath.Join(l.Folder, p.Name+".log")); err == nil && len(text) > 0 {
			l.mu.Lock()
			_, _ = fmt.Fprintf(l.record, "\nlog of %s:\n%s", p.Name, text)
			l.mu.Unlock()
		}
	}
}

// JSON writes a value to a file in the temporary folder and returns its path.
func (l *Lab) JSON(name string, value any) (string, error) {
	text, err := json.MarshalIndent(value, "", " ")
	if err != nil {
		return "", err
	}
	return l.File(name, string(text))
}

// File writes a file in the temporary folder and returns its path.
func (l *Lab) File(name, text string) (string, error) {
	path := filepath.Join(l.Folder, name)
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// AwaitProbe waits until the log server answers a health check as good.
func AwaitProbe(address string, within time.Duration) error {
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		conn, err := Dial(address)
		if err != nil {
			continue
		}
		select {
		case reply := <-conn.Probe().Answer:
			conn.Close()
			if reply.Good {
				return nil
			}
		case <-time.After(time.Second):
			conn.Close()
		}
	}
	return fmt.Errorf("%s answers no health check", address)
}

// AwaitReady waits until the operators' call says that the process takes clients.
func AwaitReady(admin string, within time.Duration) error {
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + admin + "/control/ready")
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", admin)
}

// Config returns the configuration of a small log server of pakchong-main. Its memory is that of 12 held requests a
// core that run.
func Config(name, listen, pool string, cores int) map[string]any {
	class := func(name, effect string, worth int) map[string]any {
		return map[string]any{"name": name, "aim_ms": 1800, "hard_limit_ms": 4500, "late_worth": 0, "worth": worth,
			"effect": effect, "window_ms": 5000}
	}
	intake := class("lot-intake", "guarded", 10)
	intake["window_ms"] = 13518
	return map[string]any{
		"name": name, "listen": listen, "pool": pool, "control": controlPlane(), "seed": "00000000000000a1",
		"stop_ms": 3200, "limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"settings": map[string]any{
			"classes": []any{class("block-view", "free", 1), class("lot-update", "free", 1), intake},
			"tenants": []any{
				map[string]any{"name": "hill-estate", "quota_rps": 69, "fraction": 0.48},
				map[string]any{"name": "lake-vines", "quota_rps": 43, "fraction": 0.3},
				map[string]any{"name": "valley-rows", "quota_rps": 32, "fraction": 0.22},
			},
			"client_habits": map[string]any{"marks_retry": true},
			"limits":        map[string]any{"retry_after": true, "max_retry_after_ms": 1000},
			"rules": map[string]any{"cold_from": 0.24, "ramp_time_ms": 17000, "stop_sending_within_ms": 2500,
				"fall_multiple": 8, "tip_after_ms": 3000, "grace_to_answer_ms": 100},
			"extra": map[string]any{"callers": 3, "cores": cores, "downstream": "none",
				"class_calls": []bool{false, false, false}, "heeded_ms": 1000, "keepalive_max_ms": 30000,
				"key_kb": 154.52, "memory_kb": 47610, "run_factor": 8, "say": "floor", "stop_mode": "discard",
				"readiness": true, "gauges": []string{"cpu_busy", "runnable", "mem_used", "sockets"}},
		},
	}
}

// controlPlane returns the address of a control plane that reads all reports and keeps nothing.
func controlPlane() string {
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	go func() {
		buffer := make([]byte, 1024)
		for {
			if _, _, err := socket.ReadFrom(buffer); err != nil {
				return
			}
		}
	}()
	return socket.LocalAddr().String()
}

// Fields returns the fields of a request that comes to the machine now. once is empty but in keyed classes.
func Fields(class, once string, further bool) map[string]string {
	fields := map[string]string{
		"class": class, "id": NewID(), "at": strconv.FormatInt(time.Now().UnixMilli(), 10), "from": "4",
		"tenant": "hill-estate", "kb": "24.5", "rank": "0.5000",
	}
	if once != "" {
		fields["once"] = once
	}
	if further {
		fields["retry"] = "1"
	}
	return fields
}

// Upgrade starts a new process of a log server beside the old one, waits until it takes clients, tells the old one to
// stop and waits until that has ended, as the page for operators on call says.
func (l *Lab) Upgrade(old *Process, name, admin string, environment ...string) (*Process, error) {
	l.Note("operator: starts %s beside %s", name, old.Name)
	fresh, err := l.Start(name, append(environment, "RELAY_ADMIN="+admin)...)
	if err != nil {
		return nil, err
	}
	if err := AwaitReady(admin, 6*time.Second); err != nil {
		return nil, err
	}
	l.Note("operator: %s is ready, SIGTERM to %s", name, old.Name)
	if err := old.Signal(syscall.SIGTERM); err != nil {
		return nil, err
	}
	if !old.Ended(5 * time.Second) {
		return nil, fmt.Errorf("%s has not ended", old.Name)
	}
	l.Note("operator: %s has ended", old.Name)
	return fresh, nil
}
