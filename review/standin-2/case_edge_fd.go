package main

import (
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"pewterline/internal/protocol/thrift"
)

const (
	// fleetServers is the number of log servers on the busiest days.
	fleetServers = 22
	// serverWork is how long a stand-in log server takes over a request.
	serverWork = 100 * time.Millisecond
	// loadInterval is the time between two requests of the usual load, 100 a second.
	loadInterval = 10 * time.Millisecond
	loadTime     = 12 * time.Second
	// crowdDelay is when the idle connections begin to come. Each of the callers opens callerConns, one after another.
	crowdDelay   = 3 * time.Second
	crowdCallers = 5
	callerConns  = 200
	callerPause  = 2 * time.Millisecond
	crowdStay    = 2 * time.Second  // of the idle connections, once a caller has opened all of its own
	descriptors  = "ulimit -n %d; " // the platform's limit on the process, in the shell that starts it
)

// edgeDescriptors plays the usual load at an edge in front of 22 log servers. A crowd of idle connections arrives.
func edgeDescriptors(play *world) error {
	var fleet strings.Builder
	for i := range fleetServers {
		address, err := standInServer()
		if err != nil {
			return err
		}
		fmt.Fprintf(&fleet, "[[server]]\nname = \"n%d\"\naddress = %q\n", i+1, address)
	}
	file := play.path("fleet.toml")
	if err := os.WriteFile(file, []byte(fleet.String()), 0o600); err != nil {
		return err
	}
	edge, err := play.startReady(startOptions{
		name: "edge", env: []string{"RELAY_FLEET=" + file}, cores: fleetServers * poolCores,
		prefix: fmt.Sprintf(descriptors, sockets),
	})
	if err != nil {
		return err
	}
	var playing sync.WaitGroup
	if play.trouble {
		playing.Go(func() { play.crowd(edge) })
	}
	outcomes := play.usualLoad(edge)
	playing.Wait()
	play.notef("answers to the usual load: %v; descriptors of the edge at the end: %d", outcomes, edge.descriptors())
	if edge.ended() {
		play.brokenf("crash: the edge has ended; answers to the usual load: %v", outcomes)
	}
	return nil
}

// crowd opens idle connections to an edge, which send nothing, and closes them at the end.
func (w *world) crowd(edge *process) {
	time.Sleep(crowdDelay)
	w.notef("%d idle connections begin to come; the edge has %d descriptors", crowdCallers*callerConns, edge.descriptors())
	var callers sync.WaitGroup
	for range crowdCallers {
		callers.Go(func() {
			for range callerConns {
				conn, err := net.DialTimeout("tcp", edge.listen, dialTimeout)
				if err == nil {
					defer func() { _ = conn.Close() }() // the edge may have closed it
				}
				time.Sleep(callerPause)
			}
			w.notef("a caller has opened its idle connections; the edge has %d descriptors", edge.descriptors())
			time.Sleep(crowdStay)
		})
	}
	callers.Wait()
}

// usualLoad sends reads, each on a new connection, and counts the kinds of answers.
func (w *world) usualLoad(edge *process) map[string]int {
	var mu sync.Mutex
	outcomes := map[string]int{}
	var waiting sync.WaitGroup
	for until := time.Now().Add(loadTime); time.Now().Before(until); time.Sleep(loadInterval) {
		waiting.Go(func() {
			got, err := w.ask(edge.listen, try{class: readClass, body: "a block"})
			if err != nil {
				got.kind = "no connection"
			}
			kind, _, _ := strings.Cut(got.kind, ":")
			mu.Lock()
			defer mu.Unlock()
			outcomes[kind]++
		})
	}
	waiting.Wait()
	return outcomes
}

// descriptors counts the open file descriptors of the process.
func (p *process) descriptors() int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid)) // none once it has ended
	return len(entries)
}

// standInServer starts a log server that serves every request, on a free loopback address. It ends with this program.
func standInServer() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveProxy(conn) // ends with the connection
		}
	}()
	return listener.Addr().String(), nil
}

// serveProxy answers the requests on a connection.
func serveProxy(conn net.Conn) {
	defer func() { _ = conn.Close() }() // nothing is left to write
	var received []byte
	chunk := make([]byte, readSize)
	for {
		payload, size, err := thrift.SplitFrame(received)
		if err != nil {
			return
		}
		if payload == nil {
			n, err := conn.Read(chunk)
			if err != nil {
				return
			}
			received = append(received, chunk[:n]...)
			continue
		}
		call, _, err := thrift.DecodeCall(payload)
		if err != nil {
			return
		}
		received = received[size:]
		if call.Method != thrift.MethodProcess {
			continue // the edge no longer waits for a request
		}
		reply := thrift.AppendAnswer(nil, thrift.Answer{
			MethodName: thrift.ProcessName, SequenceID: call.SequenceID, Body: []byte("ran " + call.Fields["id"]), Good: true,
		})
		time.AfterFunc(serverWork, func() { _, _ = conn.Write(reply) }) // fails only if the connection has ended
	}
}
