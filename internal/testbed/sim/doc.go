// Package sim plays fault scripts against whole servers in one process. A simulation is a simulated clock and network
// (package simnet) on which servers run with the program's own code and event loop; everything that they talk to, such
// as callers, worker pools and the vault, is a fake of package fakes. Faults of the script are injected at their
// times, and package invariant checks the servers' behaviour after every event.
//
// A script together with its seed determines the whole run: the same script gives the same digest, byte for byte.
// Search plays drawn scripts until one breaks an invariant, and Shrink makes such a script smaller. BalancerComparison
// and GossipExperiment measure load balancing and gossip on the same clock.
//
// The command pewterline-sim and this package's tests are its callers. It opens no sockets, reads no wall clock in a
// run, and is no part of the server.
package sim
