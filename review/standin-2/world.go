package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// world holds everything that a play has started, and the record of the play.
type world struct {
	trouble bool   // whether the disruption of the case takes place
	dir     string // a temporary folder, removed at the end

	mu        sync.Mutex
	record    *os.File
	startedAt time.Time
	broken    []string
	processes []*process
	pools     []*workerPool
}

// newWorld opens the record. The environment variable TROUBLE=0 switches the disruption off.
func newWorld(recordPath string) (*world, error) {
	dir, err := os.MkdirTemp("", "pwr") // short, because the length of a socket's path is limited
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, errors.Join(err, os.RemoveAll(dir))
	}
	w := &world{trouble: os.Getenv("TROUBLE") != "0", dir: dir, record: record, startedAt: time.Now()}
	w.notef("the play begins, disruption: %v", w.trouble)
	return w, nil
}

// notef writes a line to the record, with the time since the start of the play and the Unix time in milliseconds.
func (w *world) notef(format string, args ...any) {
	now := time.Now()
	line := fmt.Sprintf(format, args...)
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f %d %s\n", now.Sub(w.startedAt).Seconds(), now.UnixMilli(), line)
}

// brokenf records that the rule was broken.
func (w *world) brokenf(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	w.notef("BROKEN: %s", line)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken = append(w.broken, line)
}

// verdict writes the outcome of the play and returns the exit code.
func (w *world) verdict(err error) int {
	w.mu.Lock()
	broken := strings.Join(w.broken, "\n")
	w.mu.Unlock()
	switch {
	case err != nil:
		w.notef("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitFault
	case broken != "":
		w.notef("verdict: broken")
		fmt.Println("broken:\n" + broken)
		return exitBroken
	}
	w.notef("verdict: held")
	fmt.Println("held")
	return exitHeld
}

// close ends all processes, appends their logs to the record and removes the temporary folder.
func (w *world) close() {
	for _, p := range w.processes {
		p.kill()
		log, _ := os.ReadFile(p.logPath) // a missing log only shortens the record
		fmt.Fprintf(w.record, "--- log of %s\n%s", p.name, log)
	}
	for _, p := range w.pools {
		p.close()
	}
	_ = w.record.Close()    // nothing is left to write
	_ = os.RemoveAll(w.dir) // the system clears temporary folders that stay
}

// path returns a path in the temporary folder.
func (w *world) path(name string) string { return filepath.Join(w.dir, name) }

// eventually calls check every few milliseconds until it returns nil, or until a limit is over.
func eventually(limit time.Duration, check func() error) error {
	const pause = 20 * time.Millisecond
	until := time.Now().Add(limit)
	for {
		err := check()
		if err == nil {
			return nil
		}
		if time.Now().After(until) {
			return fmt.Errorf("not within %v: %w", limit, err)
		}
		time.Sleep(pause)
	}
}

// signalName returns the name of a signal that the plays use.
func signalName(signal syscall.Signal) string {
	names := map[syscall.Signal]string{
		syscall.SIGTERM: "SIGTERM", syscall.SIGKILL: "SIGKILL", syscall.SIGSTOP: "SIGSTOP", syscall.SIGCONT: "SIGCONT",
		syscall.SIGHUP: "SIGHUP",
	}
	return names[signal]
}
