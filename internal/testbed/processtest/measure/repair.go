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
	lostServer     = 3 // server ID
)

// errRepairTimeout reports that a repair took longer than repairTimeout.
var errRepairTimeout = errors.New("measure: the repair did not complete in time")

// RepairConfig configures a measurement of a repair.
type RepairConfig struct {
	Program           string // the path of the program, as processtest.Build returns it
	Settings          json.RawMessage
	Keys              int
	KeysPerSecond     int // limit of the repair rate
	MaxConcurrentKeys int // limit of the keys in repair at once
}

// RepairResult is the measured repair of a lost server's replicas.
type RepairResult struct {
	Keys        int
	Duration    time.Duration
	MemoryBytes int // resident memory of the restored server after the repair
}

// Repair measures a repair: it fills a cluster of three servers, loses one with its disk, restarts it, and waits until
// it holds all keys again.
func Repair(cfg RepairConfig) (result RepairResult, err error) {
	cluster, err := processtest.NewCluster(processtest.ClusterConfig{
		Program:  cfg.Program,
		Settings: cfg.Settings,
		Servers:  repairServers,
		Replicas: repairServers,
		ExtraLines: []string{
			fmt.Sprintf("repair_keys_per_s = %d", cfg.KeysPerSecond),
			fmt.Sprintf("repair_at_once = %d", cfg.MaxConcurrentKeys),
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
	fillCluster(cluster, cfg.Keys)
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
	result.Duration = time.Since(began)
	result.MemoryBytes = cluster.Servers[lostServer-1].Process().Memory()
	return result, nil
}

// fillCluster sends requests with the given number of keys to all servers. It ignores requests that are not served.
func fillCluster(cluster *processtest.Cluster, keys int) {
	var last atomic.Int64
	var callers sync.WaitGroup
	for i := range repairCallers {
		// fillCluster owns the callers' goroutines and waits for them: they end after the last key.
		callers.Go(func() {
			conn, err := processtest.Dial(cluster.Servers[i%len(cluster.Servers)].Listen)
			if err != nil {
				return
			}
			defer conn.Close()
			for n := last.Add(1); n <= int64(keys); n = last.Add(1) {
				sendKeyed(conn, fmt.Sprintf("lot %d", n))
			}
		})
	}
	callers.Wait()
}

// awaitRepair waits until the lost server holds the given number of keys and the cluster is stable.
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
