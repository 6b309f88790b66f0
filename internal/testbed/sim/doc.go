// Package sim plays fault scripts against whole servers in one process. The servers run the production code and event
// loop on a simulated clock and network (package simnet). Their peers, such as callers, worker pools and the vault, are
// fakes from package fakes. Each fault of a script is injected at its time, and package invariant checks the servers'
// behaviour after every event.
//
// A script, which includes its seed, determines the whole run: playing it again gives the same digest. Search plays
// random scripts until one violates an invariant, and Shrink minimizes such a script. BalancerComparison and
// GossipExperiment measure load balancing and gossip on the same simulated clock.
//
// The command pewterline-sim and this package's tests use it. It opens no sockets, reads no wall clock during a run,
// and is not part of the server.
package sim
