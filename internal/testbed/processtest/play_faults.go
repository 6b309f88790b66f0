package processtest

import (
	"encoding/json"
	"os"
	"syscall"
	"time"

	"pewterline/internal/testbed/faults"
)

// maxDrain is how long an old process may take after SIGTERM before it is killed: more than its stop_ms.
const maxDrain = 5 * time.Second

// oldestNode is the node of a script that names the oldest process; any other names the youngest.
const oldestNode = "s0"

// inject has a fault happen, and returns once it is over.
func (p *serverPlay) inject(fault faults.Fault) {
	p.recorder.Eventf("%s %s %s for %v, %v", fault.Kind, fault.Node, fault.Peer, fault.For.Duration(), fault.Amount)
	switch fault.Kind {
	case faults.Terminate:
		p.upgradeServer()
	case faults.Kill:
		p.kill(fault)
	case faults.Pause:
		p.pause(fault)
	case faults.ReloadConfig:
		p.reload()
	default:
		p.disturbPaths(fault)
	}
}

// target returns the process that a fault is for; nil: none is alive.
func (p *serverPlay) target(node string) *Process {
	living := p.living()
	switch {
	case len(living) == 0:
		return nil
	case node == oldestNode:
		return living[0]
	default:
		return living[len(living)-1]
	}
}

func (p *serverPlay) kill(fault faults.Fault) {
	if process := p.target(fault.Node); process != nil {
		killProcess(process)
	}
	time.Sleep(fault.For.Duration())
	p.upgrade.Lock()
	defer p.upgrade.Unlock()
	p.revive()
}

// killProcess kills a process and waits for its end.
func killProcess(process *Process) {
	// It may have ended by itself meanwhile; how it ended is of no interest.
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

// pauseProcess stops a process for a while. It may end or have ended meanwhile: then there is nothing to stop.
func pauseProcess(process *Process, duration time.Duration) {
	_ = process.Signal(syscall.SIGSTOP)
	time.Sleep(duration)
	_ = process.Signal(syscall.SIGCONT)
}

// reload has a class come or go in the configuration of all processes.
func (p *serverPlay) reload() {
	p.mu.Lock()
	p.extraClass = !p.extraClass
	p.mu.Unlock()
	for _, process := range p.living() {
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
	// A process that has ended meanwhile reads nothing any more.
	_ = process.Signal(syscall.SIGHUP)
	return nil
}

// disturbPaths has a fault happen on the connections of all processes to their worker pools.
func (p *serverPlay) disturbPaths(fault faults.Fault) {
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

// upgradeServer is an upgrade as operators make it: once the successor is ready, the old process is told to end.
func (p *serverPlay) upgradeServer() {
	p.upgrade.Lock()
	defer p.upgrade.Unlock()
	old := p.target(oldestNode)
	next, err := p.start()
	if err != nil {
		p.recorder.Eventf("start: %v", err)
		return
	}
	if err := next.Ready(); err != nil {
		p.recorder.Eventf("the successor is not ready")
		p.revive()
		return
	}
	if old == nil || old.Ended() {
		return
	}
	p.recorder.Eventf("SIGTERM")
	// It may have ended meanwhile, which the wait below sees.
	_ = old.Signal(syscall.SIGTERM)
	select {
	case <-old.done:
	case <-time.After(maxDrain):
		killProcess(old)
	}
	p.recorder.Update(func(o *Outcome) { o.Upgrades++ })
	p.revive()
}

// revive starts a process where none is left.
func (p *serverPlay) revive() {
	if len(p.living()) > 0 {
		return
	}
	process, err := p.start()
	if err != nil {
		p.recorder.Eventf("start: %v", err)
		return
	}
	if err := process.Ready(); err != nil {
		p.recorder.Eventf("not ready: %v", err)
	}
}
