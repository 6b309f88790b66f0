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

// The replicas of each key, by the size of the cluster.
const (
	fewReplicas      = 3
	manyReplicas     = 5
	manyReplicasFrom = 5 // servers
)

// play is a cluster that is played.
type play struct {
	script   faults.Script
	cluster  *processtest.Cluster
	recorder *processtest.Recorder
	history  history
	callers  sync.WaitGroup
	stopped  atomic.Bool  // callers are to end
	busy     []sync.Mutex // of each server: one fault of its process at a time
	losing   sync.Mutex   // one disk is lost at a time
}

// Play plays a script against a cluster to its end, and checks what callers and worker pools saw. The program has to be
// built with the tag faults where disks are to fail. The faults of a script are those of the servers s0 to sN-1, which
// replicate to each other under load:
//
//	kill node=s0 for=           SIGKILL, and another process after a while
//	vanish node=s0 for=         the same, and its disk is lost; it is a kill where the replicas would not bear that now
//	pause node=s0 for=          SIGSTOP, and SIGCONT after a while
//	stall, lag, thin node=s0 peer=s1    on the connections between both, whoever opened them
//	dark, cut node=s0 peer=s1           the same, from s0 to s1 alone
//	store-fail node=s0 for=     its disk is full for a while
//	store-slow node=s0 for=     its disk is slow for a while
func Play(script faults.Script, options processtest.Options) (outcome processtest.Outcome, err error) {
	if err := script.Validate(); err != nil {
		return outcome, err
	}
	replicas := fewReplicas
	if script.Servers >= manyReplicasFrom {
		replicas = manyReplicas
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
	cluster.RunLog.NamedResults = true
	if err := cluster.StartAll(); err != nil {
		return outcome, err
	}
	p := &play{
		script:   script,
		cluster:  cluster,
		recorder: processtest.NewRecorder(options.Log),
		busy:     make([]sync.Mutex, script.Servers),
	}
	p.run()
	p.check()
	return p.recorder.Finish(func() []string { return strings.Split(cluster.Log(), "\n") }), nil
}

// run has callers send requests while the faults of the script happen.
func (p *play) run() {
	p.recorder.Update(func(o *processtest.Outcome) { o.Starts = p.script.Servers })
	// run owns the goroutines of the callers and waits for them: they end once stopped is set.
	for i := range p.script.Proxies {
		p.callers.Go(func() { p.call(i) })
	}
	p.recorder.InjectFaults(p.script, p.inject)
	p.stopped.Store(true)
	p.callers.Wait()
}

// stateTimeout is how long a server may take to tell its state: it may be stopped.
const stateTimeout = 500 * time.Millisecond

// errNoState says that a server did not tell its state in time.
var errNoState = errors.New("clusterplay: the server does not tell its state")

// state asks a server that may be stopped for its state.
func (p *play) state(id int) (processtest.State, error) {
	type answer struct {
		state processtest.State
		err   error
	}
	answers := make(chan answer, 1)
	// The question outlives this call where the server is stopped; it ends with its own time limit at the latest.
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
