package processtest

import (
	"encoding/json"
	"os"
	"syscall"
	"time"

	"pewterline/internal/testbed/faults"
)

// maxDrain is how long an old process may take to exit after SIGTERM before it is killed. It exceeds stop_ms.
const maxDrain = 5 * time.Second

// oldestNode is the node name in a script for the oldest process. Any other name means the newest process.
const oldestNode = "s0"

// inject injects a fault, and returns once the fault is over.
func (p *serverPlay) inject(fault faults.Fault) {
	p.recorder.Eventf("%s %s %s for %v, %v", fault.Kind, fault.Node, fault.Peer, fault.For.Duration(), fault.Amount)
	switch fault.Kind {
	case faults.Terminate:
		p.upgrade()
	case faults.Kill:
		p.kill(fault)
	case faults.Pause:
		p.pause(fault)
	case faults.ReloadConfig:
		p.reload()
	default:
		p.injectPathFault(fault)
	}
}

// target returns the process that a fault affects, or nil if none runs.
func (p *serverPlay) target(node string) *Process {
	live := p.liveProcesses()
	switch {
	case len(live) == 0:
		return nil
	case node == oldestNode:
		return live[0]
	default:
		return live[len(live)-1]
	}
}

func (p *serverPlay) kill(fault faults.Fault) {
	if process := p.target(fault.Node); process != nil {
		killProcess(process)
	}
	time.Sleep(fault.For.Duration())
	p.upgradeLock.Lock()
	defer p.upgradeLock.Unlock()
	p.ensureRunning()
}

// killProcess kills a process and waits for its exit.
func killProcess(process *Process) {
	// Both calls may fail if the process has exited by itself; the exit status does not matter.
	_ = process.Signal(syscall.SIGKILL)
	_ = process.Wait()
}

func (p *serverPlay) pause(fault faults.Fault) {
	process := p.target(fault.Node)
	if process == nil {
		return
	}
	pauseProcess(process, fault.For.Duration())
}

// pauseProcess stops a process for a duration. It ignores errors: the process may have exited.
func pauseProcess(process *Process, duration time.Duration) {
	_ = process.Signal(syscall.SIGSTOP)
	time.Sleep(duration)
	_ = process.Signal(syscall.SIGCONT)
}

// reload adds the extra class to the configuration of all processes, or removes it.
func (p *serverPlay) reload() {
	p.mu.Lock()
	p.extraClass = !p.extraClass
	p.mu.Unlock()
	for _, process := range p.liveProcesses() {
		if err := p.reloadProcess(process); err != nil {
			p.recorder.Eventf("reload: %v", err)
		}
	}
}

func (p *serverPlay) reloadProcess(process *Process) error {
	text, err := os.ReadFile(process.Config)
	if err != nil {
		return err
	}
	var config map[string]any
	if err := json.Unmarshal(text, &config); err != nil {
		return err
	}
	config["settings"] = p.currentSettings()
	if err := process.WriteConfig(config); err != nil {
		return err
	}
	// Signal fails if the process has exited; then it needs no reload.
	_ = process.Signal(syscall.SIGHUP)
	return nil
}

// injectPathFault injects a fault into the connections of all processes to their worker pools.
func (p *serverPlay) injectPathFault(fault faults.Fault) {
	p.mu.Lock()
	relays := make([]*Relay, 0, len(p.relays))
	for _, relay := range p.relays {
		relays = append(relays, relay)
	}
	p.mu.Unlock()
	var heals []func()
	for _, relay := range relays {
		heal, err := relay.Apply(fault)
		if err != nil {
			p.recorder.Eventf("%v", err)
		} else if heal != nil {
			heals = append(heals, heal)
		}
	}
	time.Sleep(fault.For.Duration())
	for _, heal := range heals {
		heal()
	}
}

// upgrade performs an upgrade as operators do: once the successor is ready, it sends SIGTERM to the old process.
func (p *serverPlay) upgrade() {
	p.upgradeLock.Lock()
	defer p.upgradeLock.Unlock()
	old := p.target(oldestNode)
	next, err := p.startProcess()
	if err != nil {
		p.recorder.Eventf("start: %v", err)
		return
	}
	if err := next.AwaitReady(); err != nil {
		p.recorder.Eventf("the successor is not ready")
		p.ensureRunning()
		return
	}
	if old == nil || old.Ended() {
		return
	}
	p.recorder.Eventf("SIGTERM")
	// Signal fails if the process has exited; the wait below returns in this case.
	_ = old.Signal(syscall.SIGTERM)
	select {
	case <-old.done:
	case <-time.After(maxDrain):
		killProcess(old)
	}
	p.recorder.Update(func(o *Outcome) { o.Upgrades++ })
	p.ensureRunning()
}

// ensureRunning starts a process if none runs.
func (p *serverPlay) ensureRunning() {
	if len(p.liveProcesses()) > 0 {
		return
	}
	process, err := p.startProcess()
	if err != nil {
		p.recorder.Eventf("start: %v", err)
		return
	}
	if err := process.AwaitReady(); err != nil {
		p.recorder.Eventf("not ready: %v", err)
	}
}
