// Package fakes has what servers talk with, on the simulated clock: callers by Thrift and by AJP, worker pools, the
// control plane with its list of servers, the vault, a store of record and unidentified connections. Package sim
// builds them and injects their faults. A fake owns its node in the simulated network and its state; it keeps to the
// protocols' pages and goes wrong only as a fault says. Each draws from a random source of its own, so that a fault
// at one of them does not change what the others draw. Fakes run on the world's goroutine alone, and never look into
// a server.
package fakes
