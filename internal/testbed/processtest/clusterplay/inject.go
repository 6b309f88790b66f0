package clusterplay

import (
	"fmt"
	"time"

	"pewterline/internal/testbed/faults"
	"pewterline/internal/testbed/processtest"
)

// The faults of a disk, as the program that is built with the tag faults reads them.
const (
	diskFull = "full"
	diskSlow = "slow"
)

// serverID returns the ID of a node, from 1; 0: the node is no server.
func serverID(node string) int {
	var index int
	if _, err := fmt.Sscanf(node, "s%d", &index); err != nil {
		return 0
	}
	return index + 1
}

// inject has a fault happen, and returns once it is over.
func (p *play) inject(fault faults.Fault) {
	id := serverID(fault.Node)
	switch {
	case id == 0:
		p.recorder.Violatedf("script: %s at %q, which is no server", fault.Kind, fault.Node)
	case fault.Kind == faults.Kill, fault.Kind == faults.MachineLost:
		p.kill(id, fault)
	case fault.Kind == faults.Pause:
		p.pause(id, fault.For.Duration())
	case fault.Kind == faults.StoreFail:
		p.disturbDisk(id, diskFull, fault.For.Duration())
	case fault.Kind == faults.StoreSlow:
		p.disturbDisk(id, diskSlow, fault.For.Duration())
	case processtest.IsPathFault(fault.Kind):
		p.disturbPath(id, serverID(fault.Peer), fault)
	default:
		p.recorder.Violatedf("script: %s is no fault of a cluster", fault.Kind)
	}
}

// kill ends a server's process, and starts another one after a while. The disk is lost with it where the fault says so
// and the replicas bear it.
func (p *play) kill(id int, fault faults.Fault) {
	p.busy[id-1].Lock()
	defer p.busy[id-1].Unlock()
	diskLost := fault.Kind == faults.MachineLost && p.beginDiskLoss()
	if diskLost {
		defer p.losing.Unlock()
	}
	p.recorder.Eventf("server %d is killed, its disk lost: %v", id, diskLost)
	if err := p.cluster.Kill(id); err != nil {
		p.recorder.Violatedf("kill: %v", err)
		return
	}
	if diskLost {
		if err := p.cluster.Wipe(id); err != nil {
			p.recorder.Violatedf("wipe: %v", err)
			return
		}
		p.recorder.Update(func(o *processtest.Outcome) { o.DisksLost++ })
	}
	time.Sleep(fault.For.Duration())
	// A server does not start while its disk is full.
	if err := p.cluster.Eventually(func() error { return p.cluster.Start(id) }); err != nil {
		p.recorder.Violatedf("start: %v", err)
	}
	p.recorder.Update(func(o *processtest.Outcome) { o.Starts++ })
}

func (p *play) pause(id int, duration time.Duration) {
	p.busy[id-1].Lock()
	defer p.busy[id-1].Unlock()
	p.recorder.Eventf("server %d is stopped for %v", id, duration)
	p.cluster.Pause(id, duration)
}

func (p *play) disturbDisk(id int, disk string, duration time.Duration) {
	p.recorder.Eventf("the disk of server %d is %s for %v", id, disk, duration)
	if err := p.cluster.SetDiskFault(id, disk); err != nil {
		p.recorder.Eventf("disk of server %d: %v", id, err)
	}
	time.Sleep(duration)
	if err := p.cluster.SetDiskFault(id, ""); err != nil {
		p.recorder.Eventf("disk of server %d: %v", id, err)
	}
}

// disturbPath has a fault happen on the connections between two servers, whoever opened them.
func (p *play) disturbPath(id, peer int, fault faults.Fault) {
	if peer == 0 || peer == id {
		p.recorder.Violatedf("script: %s between servers %d and %d", fault.Kind, id, peer)
		return
	}
	p.recorder.Eventf("%s from %d to %d for %v, %v", fault.Kind, id, peer, fault.For.Duration(), fault.Amount)
	opened := p.cluster.RelayBetween(id, peer)
	accepted := p.cluster.RelayBetween(peer, id)
	_, err := opened.Apply(fault)
	switch fault.Kind {
	case faults.CutConnection: // It ends by itself.
		return
	case faults.Blackhole: // What the server sends goes backward on a connection that its peer has opened.
		accepted.Drop(processtest.Backward)
	default:
		if err == nil {
			_, err = accepted.Apply(fault)
		}
	}
	if err != nil {
		p.recorder.Violatedf("script: %v", err)
	}
	time.Sleep(fault.For.Duration())
	opened.Heal()
	accepted.Heal()
}

// beginDiskLoss reports whether the replicas bear the loss of a disk now: no other was lost whose replicas are not
// restored. It holds losing then, which the caller has to unlock.
func (p *play) beginDiskLoss() bool {
	if !p.losing.TryLock() {
		return false
	}
	bears := p.bearsDiskLoss()
	if !bears {
		p.losing.Unlock()
	}
	return bears
}

// bearsDiskLoss judges by the newest view of the group that a server tells.
func (p *play) bearsDiskLoss() bool {
	var newest processtest.State
	for _, member := range p.cluster.Servers {
		if process := member.Process(); process == nil || process.Ended() {
			continue
		}
		state, err := p.state(member.ID)
		if err == nil && state.Epoch > newest.Epoch {
			newest = state
		}
	}
	if newest.Epoch == 0 || newest.Changing {
		return false
	}
	for _, member := range newest.Members {
		// One that cannot be asked may have lost its disk, and may not be back yet.
		if member.CurrentIncarnation != member.Incarnation || !member.Up {
			return false
		}
	}
	return true
}
