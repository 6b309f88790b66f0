// Package processtest starts real processes of the program on the loopback interface, together with the rest of a
// deployment: worker pools, a vault, callers, and relays that inject faults into the connections between them.
//
// It is used by the tests of the program, by the command pewterline-sim and by the demonstration built into the
// program. It owns everything that it starts: Server.Close ends its processes, and Cluster.Close also removes their
// files. A Server is one server with its successive processes; a Cluster is several servers that replicate to each
// other; Play runs a fault script against one server and checks what callers and worker pools observed.
//
// It never signals a process that it did not start, never opens a connection beyond the loopback interface, and has no
// performance criterion: WaitTimeout only ends a test that hangs.
package processtest
