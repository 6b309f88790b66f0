package clusterplay

import (
	"errors"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"pewterline/internal/testbed/faults"
	"pewterline/internal/testbed/processtest"
)

// The number of replicas of each key, by the size of the cluster.
const (
	smallClusterReplicas = 3
	largeClusterReplicas = 5
	largeClusterServers  = 5 // minimum number of servers
)

// play is a run of a fault script against a cluster.
type play struct {
	script            faults.Script
	cluster           *processtest.Cluster
	recorder          *processtest.Recorder
	history           history
	callers           sync.WaitGroup
	stopped           atomic.Bool  // tells the callers to end
	processFaultLocks []sync.Mutex // by server: one fault of its process at a time
	diskLossLock      sync.Mutex   // one disk is lost at a time
}

// Play runs a fault script against a cluster, and checks what callers and worker pools observed. It returns at the end
// of the script. The program must be built with the tag faults if disks are to fail. The servers s0 to sN-1 replicate
// to each other under load. The faults of a script are:
//
//	kill node=s0 for=           SIGKILL; another process starts afterwards
//	vanish node=s0 for=         the same with loss of the disk; a kill if the replicas do not tolerate that at present
//	pause node=s0 for=          SIGSTOP, then SIGCONT
//	stall, lag, thin node=s0 peer=s1    on the connections between both, whichever opened them
//	dark, cut node=s0 peer=s1           the same, for data from s0 to s1 only
//	store-fail node=s0 for=     the disk is full
//	store-slow node=s0 for=     the disk is slow
func Play(script faults.Script, options processtest.Options) (outcome processtest.Outcome, err error) {
	if err := script.Validate(); err != nil {
		return outcome, err
	}
	replicas := smallClusterReplicas
	if script.Servers >= largeClusterServers {
		replicas = largeClusterReplicas
	}
	cluster, err := processtest.NewCluster(processtest.ClusterConfig{
		Program:  options.Program,
		Settings: options.Settings,
		Servers:  script.Servers,
		Replicas: replicas,
	})
	if cluster != nil {
		defer func() { err = errors.Join(err, cluster.Close()) }()
	}
	if err != nil {
		return outcome, err
	}
	cluster.RunLog.ResultsIncludeRunID = true
	if err := cluster.StartAll(); err != nil {
		return outcome, err
	}
	p := &play{
		script:            script,
		cluster:           cluster,
		recorder:          processtest.NewRecorder(options.Log),
		processFaultLocks: make([]sync.Mutex, script.Servers),
	}
	p.run()
	p.check()
	return p.recorder.Finish(func() []string { return strings.Split(cluster.Log(), "\n") }), nil
}

// run injects the faults of the script while callers send requests.
func (p *play) run() {
	p.recorder.Update(func(o *processtest.Outcome) { o.Starts = p.script.Servers })
	// run owns the goroutines of the callers and waits for them: they end once stopped is set.
	for i := range p.script.Proxies {
		p.callers.Go(func() { p.runCaller(i) })
	}
	p.recorder.InjectFaults(p.script, p.inject)
	p.stopped.Store(true)
	p.callers.Wait()
}

// stateTimeout bounds the wait for a server's state: the server may be stopped.
const stateTimeout = 500 * time.Millisecond

// errNoState reports that a server did not return its state within stateTimeout.
var errNoState = errors.New("clusterplay: the server did not return its state in time")

// state returns the state of a server that may be stopped.
func (p *play) state(id int) (processtest.State, error) {
	type answer struct {
		state processtest.State
		err   error
	}
	answers := make(chan answer, 1)
	// This goroutine may outlive the call if the server is stopped. It ends with the timeout of the request at the
	// latest.
	go func() {
		state, err := p.cluster.State(id)
		answers <- answer{state: state, err: err}
	}()
	select {
	case a := <-answers:
		return a.state, a.err
	case <-time.After(stateTimeout):
		return processtest.State{}, errNoState
	}
}
