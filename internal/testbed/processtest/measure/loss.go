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

// LossConfig says what is measured. Times are in seconds from the start of the load.
type LossConfig struct {
	Program  string // the path of the program, as processtest.Build returns it
	Settings json.RawMessage
	Length   int // of the load
	LostAt   int
	BackAt   int
	Rate     int // requests a second
}

// SecondCounts are the replies to the requests of a second.
type SecondCounts struct {
	Served        int
	Rejected      int // before they ran
	Indeterminate int // the reply tells nothing of the request's effect
	Unanswered    int // the connection was refused or broken
}

// lossLoad counts the replies to requests that come at a steady rate.
type lossLoad struct {
	cluster *processtest.Cluster
	rate    int // requests a second
	began   time.Time

	mu      sync.Mutex
	seconds []SecondCounts
}

// Loss has callers send requests to all three servers at a steady rate, each once, while one is lost with its disk and
// comes back.
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
	// Loss owns this goroutine and waits for it: it ends once the server is back.
	loss.Go(func() { lossErr = load.loseServer(cfg.LostAt, cfg.BackAt) })
	load.run()
	loss.Wait()
	return load.seconds, lossErr
}

// loseServer loses the first server with its disk at a second, and starts it again at another.
func (l *lossLoad) loseServer(lostAt, backAt int) error {
	l.sleepUntil(time.Duration(lostAt) * time.Second)
	err := errors.Join(l.cluster.Kill(1), l.cluster.Wipe(1))
	l.sleepUntil(time.Duration(backAt) * time.Second)
	return errors.Join(err, l.cluster.Start(1))
}

func (l *lossLoad) sleepUntil(elapsed time.Duration) { time.Sleep(time.Until(l.began.Add(elapsed))) }

// run returns once all requests are answered.
func (l *lossLoad) run() {
	var requests sync.WaitGroup
	for n := range len(l.seconds) * l.rate {
		l.sleepUntil(time.Duration(n) * time.Second / time.Duration(l.rate))
		// run owns the requests' goroutines and waits for them: they end with the reply.
		requests.Go(func() { l.send(n) })
	}
	requests.Wait()
}

// send sends a request, counted from 0, and counts the reply in the second that it belongs to.
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
