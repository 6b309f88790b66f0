package measure

import (
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"pewterline/internal/testbed/processtest"
)

const (
	repairServers  = 3
	repairCallers  = 48
	repairMemoryMB = 1024
	repairTimeout  = 10 * time.Minute
	lostServer     = 3 // the ID of the server that is lost
)

// errRepairTimeout says that a repair took longer than repairTimeout.
var errRepairTimeout = errors.New("measure: the repair does not come to an end")

// RepairConfig says what is measured.
type RepairConfig struct {
	Program       string // the path of the program, as processtest.Build returns it
	Settings      json.RawMessage
	Keys          int
	KeysPerSecond int // the repair's bound
	KeysAtOnce    int // the repair's bound
}

// RepairResult is how long it took to restore the replicas of a server that was lost.
type RepairResult struct {
	Keys   int
	Took   time.Duration
	Memory int // bytes, of the server that was lost, once its replicas are restored
}

// Repair fills a cluster of three, loses one server with its disk, and waits until it holds all keys again.
func Repair(cfg RepairConfig) (result RepairResult, err error) {
	cluster, err := processtest.NewCluster(processtest.ClusterConfig{
		Program:  cfg.Program,
		Settings: cfg.Settings,
		Servers:  repairServers,
		Replicas: repairServers,
		ExtraLines: []string{
			fmt.Sprintf("repair_keys_per_s = %d", cfg.KeysPerSecond),
			fmt.Sprintf("repair_at_once = %d", cfg.KeysAtOnce),
		},
	})
	if cluster != nil {
		defer func() { err = errors.Join(err, cluster.Close()) }()
	}
	if err != nil {
		return result, err
	}
	for _, member := range cluster.Servers {
		member.MemoryMB = repairMemoryMB
	}
	if err := cluster.StartAll(); err != nil {
		return result, err
	}
	fill(cluster, cfg.Keys)
	state, err := cluster.State(1)
	if err != nil {
		return result, err
	}
	result.Keys = state.Counters.Held
	if err := errors.Join(cluster.Kill(lostServer), cluster.Wipe(lostServer)); err != nil {
		return result, err
	}
	began := time.Now()
	if err := cluster.Start(lostServer); err != nil {
		return result, err
	}
	if err := awaitRepair(cluster, result.Keys, began); err != nil {
		return result, err
	}
	result.Took = time.Since(began)
	result.Memory = cluster.Servers[lostServer-1].Process().Memory()
	return result, nil
}

// fill has callers send requests with so many keys to all servers. What is not served is left out.
func fill(cluster *processtest.Cluster, keys int) {
	var last atomic.Int64
	var callers sync.WaitGroup
	for i := range repairCallers {
		// fill owns the callers' goroutines and waits for them: they end with the keys.
		callers.Go(func() {
			conn, err := processtest.Dial(cluster.Servers[i%len(cluster.Servers)].Listen)
			if err != nil {
				return
			}
			defer conn.Close()
			for n := last.Add(1); n <= int64(keys); n = last.Add(1) {
				serve(conn, fmt.Sprintf("lot %d", n))
			}
		})
	}
	callers.Wait()
}

// awaitRepair waits until the server that was lost holds so many keys, and the cluster is stable.
func awaitRepair(cluster *processtest.Cluster, keys int, began time.Time) error {
	for ; time.Since(began) < repairTimeout; time.Sleep(pollInterval) {
		state, err := cluster.State(lostServer)
		restored := err == nil && state.Counters.Held >= keys && !state.Changing
		if restored && cluster.AwaitStable() == nil {
			return nil
		}
	}
	return errRepairTimeout
}
