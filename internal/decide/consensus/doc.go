// Package consensus agrees on one value for each idempotency key among the log servers that replicate it, so that the
// loss of a minority of them, disks included, loses nothing that was promised.
//
// Each key is a register of its own (D. Rystsov, "CASPaxos: Replicated State Machines without logs", 2018). A proposer
// that wants to change a key asks a majority of the key's replicas for a promise and for the value that they have
// accepted, applies its change to the newest of these, and has a majority accept the outcome. There is no leader whose
// stall others would have to wait out, and no order between keys.
//
// The replicas of a key are picked out of a Membership by rendezvous hashing. A change of members goes through joint
// configurations (D. Ongaro and J. Ousterhout, "In Search of an Understandable Consensus Algorithm", 2014): while it
// lasts, each key needs a majority of its replicas in the current and in the next configuration.
//
// Node is one server's part: an Acceptor for the keys that it replicates, the proposals that it has in flight, the
// repair of replicas that lack a value, and the change of members. Package replication drives it from the event loop
// and carries out what Node.Ready returns.
//
// The package does no I/O, starts no goroutines and reads no clock. Its only randomness comes from the seed that it is
// given. It never forgets a promise by itself: what Ready.Registers holds has to be durable before replies go out.
package consensus
