// Package processtest starts real processes of the program on the loopback, together with what surrounds them in a
// deployment: worker pools, a vault, callers, and relays that spoil the connections between them.
//
// Tests of the program, the command pewterline-sim and the demonstration of the program itself call it. It owns all
// that it starts: Server.Close ends its processes, and Cluster.Close removes what they have left on disk as well. A
// Server is one server with the processes that succeed one another; a Cluster is several servers that replicate to each
// other; Play plays a script of faults against one server and checks what callers and worker pools saw.
//
// It never signals a process that it did not start, never opens a connection beyond the loopback, and never judges by
// the time that something took: Patience only ends a test that hangs.
package processtest
