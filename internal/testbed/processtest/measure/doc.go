// Package measure times clusters of real processes that replicate to each other: what replication costs, how long a
// repair takes, and what callers see while a server is lost. Its figures are of the machine that it runs on.
//
// The command pewterline-sim calls it. It owns the cluster of a measurement from its start to its end, and the
// goroutines of the callers, all of which end within the measurement. It judges nothing: the figures are for a person.
package measure

import "time"

// pollInterval is the pause between two looks at the state of a server.
const pollInterval = 20 * time.Millisecond
