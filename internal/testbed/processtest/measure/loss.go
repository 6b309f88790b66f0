package measure

import (
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"pewterline/internal/protocol/thrift"
	"pewterline/internal/testbed/processtest"
)

const lossServers = 3

// LossConfig configures a measurement of the loss of a server. Times are in seconds from the start of the load.
type LossConfig struct {
	Program   string // the path of the program, as processtest.Build returns it
	Settings  json.RawMessage
	Length    int // of the load
	LossAt    int
	RestartAt int
	Rate      int // requests a second
}

// SecondCounts counts the replies to the requests sent within one second.
type SecondCounts struct {
	Served        int
	Rejected      int // before they ran
	Indeterminate int // the reply leaves open whether the request took effect
	Unanswered    int // the connection was refused or lost
}

// lossLoad sends requests at a constant rate and counts the replies.
type lossLoad struct {
	cluster *processtest.Cluster
	rate    int // requests a second
	began   time.Time

	mu      sync.Mutex
	seconds []SecondCounts
}

// Loss measures the replies to callers while one of three servers is lost with its disk and restarted. Requests are
// sent to all servers at a constant rate, without retries.
func Loss(cfg LossConfig) (seconds []SecondCounts, err error) {
	cluster, err := processtest.NewCluster(processtest.ClusterConfig{
		Program:  cfg.Program,
		Settings: cfg.Settings,
		Servers:  lossServers,
		Replicas: lossServers,
	})
	if cluster != nil {
		defer func() { err = errors.Join(err, cluster.Close()) }()
	}
	if err != nil {
		return nil, err
	}
	if err := cluster.StartAll(); err != nil {
		return nil, err
	}
	load := &lossLoad{
		cluster: cluster,
		rate:    cfg.Rate,
		began:   time.Now(),
		seconds: make([]SecondCounts, cfg.Length),
	}
	var loss sync.WaitGroup
	var lossErr error
	// Loss owns this goroutine and waits for it: it ends once the server has restarted.
	loss.Go(func() { lossErr = load.loseServer(cfg.LossAt, cfg.RestartAt) })
	load.run()
	loss.Wait()
	return load.seconds, lossErr
}

// loseServer kills the first server and removes its data after lossAt seconds, and restarts it after restartAt seconds.
func (l *lossLoad) loseServer(lossAt, restartAt int) error {
	l.sleepUntil(time.Duration(lossAt) * time.Second)
	err := errors.Join(l.cluster.Kill(1), l.cluster.Wipe(1))
	l.sleepUntil(time.Duration(restartAt) * time.Second)
	return errors.Join(err, l.cluster.Start(1))
}

func (l *lossLoad) sleepUntil(elapsed time.Duration) { time.Sleep(time.Until(l.began.Add(elapsed))) }

// run sends all requests, and returns once all have their reply.
func (l *lossLoad) run() {
	var requests sync.WaitGroup
	for n := range len(l.seconds) * l.rate {
		l.sleepUntil(time.Duration(n) * time.Second / time.Duration(l.rate))
		// run owns the requests' goroutines and waits for them: each ends with its reply.
		requests.Go(func() { l.send(n) })
	}
	requests.Wait()
}

// send sends the request with number n, from 0, and counts the reply in the second in which the request is sent.
func (l *lossLoad) send(n int) {
	outcome, err := l.cluster.Send(1+n%lossServers, processtest.NewKeyedRequest(fmt.Sprintf("lot %d", n)))
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := &l.seconds[n/l.rate]
	if err != nil {
		counts.Unanswered++
		return
	}
	switch outcome.Kind {
	case thrift.ReplyAnswer:
		counts.Served++
	case thrift.ReplyThrottled:
		counts.Rejected++
	default:
		counts.Indeterminate++
	}
}
