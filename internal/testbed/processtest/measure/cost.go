package measure

import (
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pewterline/internal/protocol/thrift"
	"pewterline/internal/testbed/processtest"
)

// The histogram of latencies, in microseconds.
const (
	minLatency        = 1
	maxLatency        = 60_000_000
	significantDigits = 3
)

// CostConfig says what is measured.
type CostConfig struct {
	Program  string // the path of the program, as processtest.Build returns it
	Settings json.RawMessage
	Replicas int // of each key; 0: the server does not replicate
	Callers  int // at once
	Length   time.Duration
}

// CostResult is what a number of replicas costs.
type CostResult struct {
	Replicas  int // 0: the server does not replicate
	Served    int
	NotServed int
	PerSecond float64 // requests that were served
	P50       time.Duration
	P99       time.Duration
	SyncsEach float64 // of all servers' disks, by request
	BytesEach float64 // of records on all disks, by request
	Memory    int     // bytes, of the server that was asked
}

// Cost has callers send requests with idempotency keys to one server, each after the reply to the one before.
func Cost(cfg CostConfig) (result CostResult, err error) {
	servers := max(cfg.Replicas, 1)
	cluster, err := processtest.NewCluster(processtest.ClusterConfig{
		Program:  cfg.Program,
		Settings: cfg.Settings,
		Servers:  servers,
		Replicas: servers,
	})
	if cluster != nil {
		defer func() { err = errors.Join(err, cluster.Close()) }()
	}
	if err != nil {
		return result, err
	}
	if err := startReplicating(cluster, cfg.Replicas > 0); err != nil {
		return result, err
	}
	load := newCostLoad(cluster.Servers[0].Listen, cfg.Length)
	load.run(cfg.Callers)
	result = load.result(cfg.Length)
	result.Replicas = cfg.Replicas
	result.Memory = cluster.Servers[0].Process().Memory()
	if cfg.Replicas == 0 {
		return result, nil
	}
	return result, addDiskCost(&result, cluster)
}

// startReplicating starts a cluster, or its first server alone as the program ships: it does not replicate.
func startReplicating(cluster *processtest.Cluster, replicating bool) error {
	if replicating {
		return cluster.StartAll()
	}
	cluster.Servers[0].ReplicationFile = ""
	return cluster.Start(1)
}

func addDiskCost(result *CostResult, cluster *processtest.Cluster) error {
	for _, member := range cluster.Servers {
		state, err := cluster.State(member.ID)
		if err != nil {
			return err
		}
		result.SyncsEach += float64(state.Counters.DiskSyncs) / float64(result.Served)
		result.BytesEach += float64(state.Counters.DiskBytes) / float64(result.Served)
	}
	return nil
}

// costLoad are callers of one server.
type costLoad struct {
	address string
	until   time.Time

	mu        sync.Mutex
	latencies *hdrhistogram.Histogram
	notServed int
}

// newCostLoad returns a load that lasts from now on.
func newCostLoad(address string, length time.Duration) *costLoad {
	return &costLoad{
		address:   address,
		until:     time.Now().Add(length),
		latencies: hdrhistogram.New(minLatency, maxLatency, significantDigits),
	}
}

// run returns once all callers are done.
func (l *costLoad) run(callers int) {
	var running sync.WaitGroup
	for i := range callers {
		// run owns the callers' goroutines and waits for them: they end with the load's time.
		running.Go(func() { l.call(i) })
	}
	running.Wait()
}

// call is a caller: it sends requests one after the other.
func (l *costLoad) call(caller int) {
	conn, err := processtest.Dial(l.address)
	if err != nil {
		l.countNotServed()
		return
	}
	defer conn.Close()
	for request := 0; time.Now().Before(l.until); request++ {
		began := time.Now()
		if !serve(conn, fmt.Sprintf("lot %d/%d", caller, request)) {
			l.countNotServed()
			continue
		}
		l.record(time.Since(began))
	}
}

// serve sends a request, and reports whether it was served.
func serve(conn *processtest.Conn, key string) bool {
	pending, err := conn.Send(processtest.NewKeyedRequest(key))
	if err != nil {
		return false
	}
	reply, err := pending.Await()
	return err == nil && reply.Kind == thrift.ReplyAnswer
}

func (l *costLoad) countNotServed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notServed++
}

func (l *costLoad) record(latency time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	// A latency beyond the histogram's range is left out: no reply takes as long as maxLatency.
	_ = l.latencies.RecordValue(latency.Microseconds())
}

func (l *costLoad) result(length time.Duration) CostResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	served := int(l.latencies.TotalCount())
	return CostResult{
		Served:    served,
		NotServed: l.notServed,
		PerSecond: float64(served) / length.Seconds(),
		P50:       l.quantile(50),
		P99:       l.quantile(99),
	}
}

func (l *costLoad) quantile(percent float64) time.Duration {
	return time.Duration(l.latencies.ValueAtQuantile(percent)) * time.Microsecond
}
