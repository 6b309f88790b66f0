// Package clusterplay runs fault scripts against clusters of real processes, and checks what callers and worker pools
// observed: no request with an idempotency key runs twice, a served request is always served with the same result, and
// the cluster becomes stable again after the last fault.
//
// It is used by the command pewterline-sim. Play owns the cluster, and one goroutine for each caller and each fault,
// all of which end within Play. The package has no performance criterion, because the machine that it runs on may be
// slow.
package clusterplay
