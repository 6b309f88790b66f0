// Package clusterplay plays scripts of faults against clusters of real processes, and checks what callers and worker
// pools saw: no request with an idempotency key runs twice, what was served stays served with the same result, and once
// all faults are over the cluster is stable again.
//
// The command pewterline-sim calls it. It owns the cluster of a play from its start to its end, and one goroutine for
// each caller and each fault, all of which end within Play. It never judges by the time that something took: the
// machine that it runs on may be slow.
package clusterplay
