// Package consensus replicates one value for each idempotency key on a few servers of a cluster, which agree on it. An
// agreed value survives the loss of a minority of its replicas, even if these lose their disks.
//
// Each key is a separate register (D. Rystsov, "CASPaxos: Replicated State Machines without logs", 2018). To change a
// key, a proposer asks a majority of the key's replicas for a promise and for the value that they have accepted. It
// applies its change to the newest of these values, and makes a majority accept the result. There is no leader whose
// failure would delay all keys, and no order between keys.
//
// The replicas of a key are chosen from a Membership by rendezvous hashing. A change of members uses joint consensus
// (D. Ongaro and J. Ousterhout, "In Search of an Understandable Consensus Algorithm", 2014): until the change is
// complete, each key needs a majority of its replicas in both the current and the next configuration.
//
// Node is the state machine of one server: an Acceptor for the keys that it replicates, its proposals in flight, the
// repair of replicas that lack a value, and the change of members. Package replication drives it from the event loop
// and carries out what Node.Ready returns.
//
// The package does no I/O, starts no goroutines and reads no clock. All randomness comes from NodeOptions.Seed.
// Promises must survive a crash: the host must make Ready.Registers durable before it sends the replies.
package consensus
