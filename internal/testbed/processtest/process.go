package processtest

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"time"
)

// readyPollInterval is the pause between two readiness queries to a process.
const readyPollInterval = 2 * time.Millisecond

// Process is one process of a server, with a worker pool of its own.
type Process struct {
	Admin  string // the address of its administrative interface
	Config string // the path of its configuration file
	Pool   *Pool

	command *exec.Cmd
	log     logBuffer
	done    chan struct{} // closed once the process has exited
	exitErr error         // the result of exec.Cmd.Wait; may be read once done is closed
}

// reap waits for the process to exit, and closes its worker pool.
func (p *Process) reap() {
	p.exitErr = p.command.Wait()
	p.Pool.Close()
	close(p.done)
}

// WriteConfig replaces the configuration file.
func (p *Process) WriteConfig(config any) error {
	text, err := json.Marshal(config)
	if err != nil {
		return fmt.Errorf("processtest: configuration of %s: %w", p.Admin, err)
	}
	return os.WriteFile(p.Config, text, 0o600)
}

// Signal sends a signal to the process.
func (p *Process) Signal(signal syscall.Signal) error { return p.command.Process.Signal(signal) }

// Stall stops the process with SIGSTOP and returns once all its threads have stopped: until then the process might
// still read data that a test sends after the signal.
func (p *Process) Stall() error {
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	for until := time.Now().Add(WaitTimeout); time.Now().Before(until); runtime.Gosched() {
		stopped, err := p.stopped()
		if err != nil || stopped {
			return err
		}
	}
	return fmt.Errorf("processtest: stop process %d: %w", p.PID(), ErrTimeout)
}

// stopped reports whether all threads of the process have stopped.
func (p *Process) stopped() (bool, error) {
	paths, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.PID()))
	if err != nil || len(paths) == 0 {
		return false, err
	}
	for _, path := range paths {
		// The file is missing if the thread has ended since; the process then counts as running until the next poll.
		text, _ := os.ReadFile(path)
		_, state, _ := strings.Cut(string(text), ") ")
		if !strings.HasPrefix(state, "T") {
			return false, nil
		}
	}
	return true, nil
}

// Wait waits for the process to exit and returns the result of exec.Cmd.Wait.
func (p *Process) Wait() error {
	select {
	case <-p.done:
		return p.exitErr
	case <-time.After(WaitTimeout):
		return fmt.Errorf("processtest: await the exit of process %d: %w", p.PID(), ErrTimeout)
	}
}

// Ended reports whether the process has exited.
func (p *Process) Ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// PID returns the process identifier.
func (p *Process) PID() int { return p.command.Process.Pid }

// Memory returns the resident memory of the process in bytes, or 0 if the system does not report it.
func (p *Process) Memory() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID()))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		var kilobytes int
		if n, _ := fmt.Sscanf(line, "VmRSS: %d kB", &kilobytes); n == 1 {
			return kilobytes << 10
		}
	}
	return 0
}

// Log returns the log output of the process so far.
func (p *Process) Log() string { return p.log.String() }

// AdminCall sends an administrative request; it returns the status and the body of the response.
func (p *Process) AdminCall(method, path string) (status int, body string, err error) {
	request, err := http.NewRequest(method, "http://"+p.Admin+path, nil)
	if err != nil {
		return 0, "", err
	}
	client := &http.Client{Timeout: WaitTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, "", err
	}
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), errors.Join(err, response.Body.Close())
}

// AwaitReady waits until the process reports that it accepts callers.
func (p *Process) AwaitReady() error {
	for until := time.Now().Add(WaitTimeout); time.Now().Before(until); time.Sleep(readyPollInterval) {
		if p.Ended() {
			return fmt.Errorf("processtest: await readiness: the process has exited: %w\n%s", p.exitErr, p.Log())
		}
		status, _, err := p.AdminCall(http.MethodGet, "/control/ready")
		if err == nil && status == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("processtest: await readiness: %w\n%s", ErrTimeout, p.Log())
}
