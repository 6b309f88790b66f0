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

// The range and precision of the latency histogram, in microseconds.
const (
	minLatency        = 1
	maxLatency        = 60_000_000
	significantDigits = 3
)

// CostConfig configures a measurement of the cost of replication.
type CostConfig struct {
	Program  string // the path of the program, as processtest.Build returns it
	Settings json.RawMessage
	Replicas int // of each key; 0: the server does not replicate
	Callers  int // number of concurrent callers
	Length   time.Duration
}

// CostResult is the measured cost of a number of replicas.
type CostResult struct {
	Replicas        int // 0: the server does not replicate
	Served          int
	NotServed       int
	PerSecond       float64 // served requests a second
	P50             time.Duration
	P99             time.Duration
	SyncsPerRequest float64 // on all servers, by served request
	BytesPerRequest float64 // written to all disks, by served request
	MemoryBytes     int     // resident memory of the server that received the requests
}

// Cost measures the cost of replication. Callers send requests with idempotency keys to one server, each caller the
// next one after the reply to the previous one.
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
	result.MemoryBytes = cluster.Servers[0].Process().Memory()
	if cfg.Replicas == 0 {
		return result, nil
	}
	return result, addDiskCost(&result, cluster)
}

// startReplicating starts a cluster or, if replicating is false, its first server alone with the program's default: no
// replication.
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
		result.SyncsPerRequest += float64(state.Counters.DiskSyncs) / float64(result.Served)
		result.BytesPerRequest += float64(state.Counters.DiskBytes) / float64(result.Served)
	}
	return nil
}

// costLoad is the load that callers generate on one server.
type costLoad struct {
	address  string
	deadline time.Time

	mu        sync.Mutex
	latencies *hdrhistogram.Histogram
	notServed int
}

// newCostLoad returns a load that begins now and lasts for the given length.
func newCostLoad(address string, length time.Duration) *costLoad {
	return &costLoad{
		address:   address,
		deadline:  time.Now().Add(length),
		latencies: hdrhistogram.New(minLatency, maxLatency, significantDigits),
	}
}

// run runs the given number of callers, and returns once all of them have ended.
func (l *costLoad) run(callers int) {
	var running sync.WaitGroup
	for i := range callers {
		// run owns the callers' goroutines and waits for them: they end at the load's deadline.
		running.Go(func() { l.runCaller(i) })
	}
	running.Wait()
}

// runCaller sends the requests of a caller one after the other until the load's deadline.
func (l *costLoad) runCaller(caller int) {
	conn, err := processtest.Dial(l.address)
	if err != nil {
		l.countNotServed()
		return
	}
	defer conn.Close()
	for request := 0; time.Now().Before(l.deadline); request++ {
		began := time.Now()
		if !sendKeyed(conn, fmt.Sprintf("lot %d/%d", caller, request)) {
			l.countNotServed()
			continue
		}
		l.record(time.Since(began))
	}
}

// sendKeyed sends a request with an idempotency key, and reports whether it was served.
func sendKeyed(conn *processtest.Conn, key string) bool {
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
	// RecordValue fails for a latency above maxLatency, which no reply reaches.
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
