package clusterplay

import (
	"fmt"
	"time"

	"pewterline/internal/testbed/faults"
	"pewterline/internal/testbed/processtest"
)

// The names of disk faults, as a program built with the tag faults reads them.
const (
	diskFull = "full"
	diskSlow = "slow"
)

// serverID returns the server ID of a node, from 1, or 0 if the node is not a server.
func serverID(node string) int {
	var index int
	if _, err := fmt.Sscanf(node, "s%d", &index); err != nil {
		return 0
	}
	return index + 1
}

// inject injects a fault, and returns once the fault is over.
func (p *play) inject(fault faults.Fault) {
	id := serverID(fault.Node)
	switch {
	case id == 0:
		p.recorder.Violationf("script: %s at %q, which is not a server", fault.Kind, fault.Node)
	case fault.Kind == faults.Kill, fault.Kind == faults.MachineLost:
		p.kill(id, fault)
	case fault.Kind == faults.Pause:
		p.pause(id, fault.For.Duration())
	case fault.Kind == faults.StoreFail:
		p.injectDiskFault(id, diskFull, fault.For.Duration())
	case fault.Kind == faults.StoreSlow:
		p.injectDiskFault(id, diskSlow, fault.For.Duration())
	case processtest.IsPathFault(fault.Kind):
		p.injectPathFault(id, serverID(fault.Peer), fault)
	default:
		p.recorder.Violationf("script: %s is not supported for a cluster", fault.Kind)
	}
}

// kill kills a server's process, and starts another one after the duration of the fault. It also removes the server's
// data if the fault is the loss of a machine and the replicas tolerate that at present.
func (p *play) kill(id int, fault faults.Fault) {
	p.processFaultLocks[id-1].Lock()
	defer p.processFaultLocks[id-1].Unlock()
	diskLost := fault.Kind == faults.MachineLost && p.tryBeginDiskLoss()
	if diskLost {
		defer p.diskLossLock.Unlock()
	}
	p.recorder.Eventf("kill server %d, disk lost: %v", id, diskLost)
	if err := p.cluster.Kill(id); err != nil {
		p.recorder.Violationf("kill: %v", err)
		return
	}
	if diskLost {
		if err := p.cluster.Wipe(id); err != nil {
			p.recorder.Violationf("wipe: %v", err)
			return
		}
		p.recorder.Update(func(o *processtest.Outcome) { o.DisksLost++ })
	}
	time.Sleep(fault.For.Duration())
	// A server cannot start while its disk is full.
	if err := p.cluster.Eventually(func() error { return p.cluster.Start(id) }); err != nil {
		p.recorder.Violationf("start: %v", err)
	}
	p.recorder.Update(func(o *processtest.Outcome) { o.Starts++ })
}

func (p *play) pause(id int, duration time.Duration) {
	p.processFaultLocks[id-1].Lock()
	defer p.processFaultLocks[id-1].Unlock()
	p.recorder.Eventf("stop server %d for %v", id, duration)
	p.cluster.Pause(id, duration)
}

func (p *play) injectDiskFault(id int, disk string, duration time.Duration) {
	p.recorder.Eventf("disk of server %d: %s for %v", id, disk, duration)
	if err := p.cluster.SetDiskFault(id, disk); err != nil {
		p.recorder.Eventf("disk of server %d: %v", id, err)
	}
	time.Sleep(duration)
	if err := p.cluster.SetDiskFault(id, ""); err != nil {
		p.recorder.Eventf("disk of server %d: %v", id, err)
	}
}

// injectPathFault injects a fault into the connections between two servers, whichever of them opened the connection.
func (p *play) injectPathFault(id, peer int, fault faults.Fault) {
	if peer == 0 || peer == id {
		p.recorder.Violationf("script: %s between servers %d and %d", fault.Kind, id, peer)
		return
	}
	p.recorder.Eventf("%s from %d to %d for %v, %v", fault.Kind, id, peer, fault.For.Duration(), fault.Amount)
	opened := p.cluster.RelayBetween(id, peer)
	accepted := p.cluster.RelayBetween(peer, id)
	_, err := opened.Apply(fault)
	switch fault.Kind {
	case faults.CutConnection: // The fault ends by itself.
		return
	case faults.Blackhole: // On connections opened by the peer, the server sends backward.
		accepted.Drop(processtest.Backward)
	default:
		if err == nil {
			_, err = accepted.Apply(fault)
		}
	}
	if err != nil {
		p.recorder.Violationf("script: %v", err)
	}
	time.Sleep(fault.For.Duration())
	opened.Heal()
	accepted.Heal()
}

// tryBeginDiskLoss reports whether the replicas tolerate the loss of a disk now, that is, whether the replicas of all
// disks lost before are restored. If it returns true, it has locked diskLossLock, which the caller must unlock.
func (p *play) tryBeginDiskLoss() bool {
	if !p.diskLossLock.TryLock() {
		return false
	}
	tolerated := p.toleratesDiskLoss()
	if !tolerated {
		p.diskLossLock.Unlock()
	}
	return tolerated
}

// toleratesDiskLoss reports whether the group can lose a disk, according to the view with the highest epoch that a
// server reports.
func (p *play) toleratesDiskLoss() bool {
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
		// An unreachable member may have lost its disk and not be restored yet.
		if member.CurrentIncarnation != member.Incarnation || !member.Up {
			return false
		}
	}
	return true
}
