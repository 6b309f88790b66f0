// Package measure measures clusters of real processes that replicate to each other: the cost of replication, the
// duration of a repair, and the replies to callers during the loss of a server. The results depend on the machine.
//
// It is used by the command pewterline-sim. A measurement owns its cluster and the goroutines of its callers, all of
// which end within the measurement. The package only reports results and has no pass criterion.
package measure

import "time"

// pollInterval is the pause between two queries of a server's state.
const pollInterval = 20 * time.Millisecond
