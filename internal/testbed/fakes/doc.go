// Package fakes simulates the peers of the servers: Thrift and AJP callers, worker pools, the control plane with its
// endpoint list, the vault, a store of record and unidentified connections. Package sim builds them and injects their
// faults. A fake owns its state and its node in the simulated network. It follows the documented protocols and deviates
// from them only while a fault is injected. Each fake has a random source of its own, so that a fault at one does not
// change the random numbers of the others. Fakes run only on the simulation's goroutine and never access a server's
// internal state.
package fakes
