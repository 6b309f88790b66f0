package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"pewterline/example"
	"pewterline/internal/protocol/thrift"
	"pewterline/internal/testbed/processtest"
)

// The cluster of the demonstration, and the classes of its requests, which the example's configuration defines.
const (
	demoServers    = 3
	demoReplicas   = 3
	demoReadClass  = "block-view"
	demoCallClass  = "lot-update" // its runs call the vault
	demoKeyedClass = "lot-intake" // its requests have idempotency keys
)

// demoCommand demonstrates what the program does: it starts three log servers that replicate for each other, in a
// temporary directory, and loses one of them.
type demoCommand struct {
	Log bool `help:"Print at the end what the servers have logged."`
}

// Run runs the demonstration with this program's own executable.
func (c *demoCommand) Run(env *environment) error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	return c.play(program, env.out)
}

// play runs the demonstration with the program at the given path.
func (c *demoCommand) play(program string, out io.Writer) (err error) {
	var file struct{ Settings json.RawMessage }
	if err := json.Unmarshal(example.Config, &file); err != nil {
		return err
	}
	cluster, err := processtest.NewCluster(processtest.ClusterConfig{
		Program:  program,
		Settings: file.Settings,
		Servers:  demoServers,
		Replicas: demoReplicas,
	})
	if cluster != nil {
		defer func() { err = errors.Join(err, cluster.Close()) }()
	}
	if err != nil {
		return err
	}
	fmt.Fprintln(out, "Three log servers, each with a toy worker pool, replicate idempotency keys for each other.")
	fmt.Fprintf(out, "A run of class %s calls a toy vault, and continues with its reply.\n\n", demoCallClass)
	d := &demo{cluster: cluster, table: tabwriter.NewWriter(out, 0, 0, columnPadding, ' ', 0)}
	if err := d.play(); err != nil {
		return err
	}
	fmt.Fprintln(out, "\nEach keyed request ran once; the lost server found both results at the other servers.")
	if c.Log {
		fmt.Fprint(out, "\n"+cluster.Log())
	}
	return d.deviations
}

// demo is one demonstration.
type demo struct {
	cluster    *processtest.Cluster
	table      *tabwriter.Writer
	deviations error // from the expected results
}

// demoRequest is one request of a demonstration.
type demoRequest struct {
	server  int
	class   string
	key     string
	retry   bool
	runOnce bool // all its attempts together must have run exactly once
}

// play starts the servers, sends requests, loses a server and shows that nothing runs twice.
func (d *demo) play() error {
	if err := d.cluster.StartAll(); err != nil {
		return err
	}
	fmt.Fprintln(d.table, "SERVER\tCLASS\tREQUEST\tANSWER\tRESULT\tRUNS SO FAR")
	d.send(demoRequest{server: 1, class: demoReadClass, key: "block-4"})
	d.send(demoRequest{server: 2, class: demoCallClass, key: "lot-12"})
	d.send(demoRequest{server: 1, class: demoKeyedClass, key: "basket-17", runOnce: true})
	if err := errors.Join(d.cluster.Kill(1), d.cluster.Wipe(1)); err != nil {
		return err
	}
	d.note("server 1 is killed, its folder is lost")
	d.send(demoRequest{server: 2, class: demoKeyedClass, key: "basket-17", retry: true, runOnce: true})
	d.send(demoRequest{server: 3, class: demoKeyedClass, key: "basket-18", runOnce: true})
	if err := d.cluster.Start(1); err != nil {
		return err
	}
	if err := d.cluster.AwaitStable(); err != nil {
		return err
	}
	state, err := d.cluster.State(1)
	if err != nil {
		return err
	}
	d.note(fmt.Sprintf("server 1 is back, and holds %d idempotency keys", state.Counters.Held))
	d.send(demoRequest{server: 1, class: demoKeyedClass, key: "basket-17", retry: true, runOnce: true})
	d.send(demoRequest{server: 1, class: demoKeyedClass, key: "basket-18", retry: true, runOnce: true})
	return d.table.Flush()
}

// send sends a request, prints the response and records deviations from the expected result.
func (d *demo) send(request demoRequest) {
	reply, err := d.cluster.Send(request.server, processtest.Request{
		Class:     request.class,
		Key:       request.key,
		Body:      request.key,
		ArrivedAt: time.Now(),
		Retry:     request.retry,
	})
	runs := len(d.cluster.RunLog.Runs(request.key))
	answer := describeReply(reply.Kind)
	if err != nil {
		answer = err.Error()
	}
	fmt.Fprintf(d.table, "%d\t%s\t%s\t%s\t%s\t%d\n",
		request.server, request.class, request.key, answer, reply.Result, runs)
	served := reply.Kind == thrift.ReplyAnswer && reply.Result == expectedResult(request.class, request.key)
	if !served || request.runOnce && runs != 1 {
		d.deviations = errors.Join(d.deviations,
			fmt.Errorf("demo: %s at server %d: %s %q after %d runs", request.key, request.server, answer, reply.Result, runs))
	}
}

// note prints an event between two requests.
func (d *demo) note(text string) { fmt.Fprintf(d.table, "-\t\t%s\t\t\t\n", text) }

func describeReply(kind thrift.ReplyKind) string {
	switch kind {
	case thrift.ReplyAnswer:
		return "served"
	case thrift.ReplyThrottled:
		return "rejected before it ran"
	case thrift.ReplyBroken:
		return "failed"
	default:
		return ""
	}
}

// expectedResult returns the toy worker pool's result of a request.
func expectedResult(class, key string) string {
	result := "did " + key
	if class == demoCallClass {
		result += " got kept " + processtest.CallBody(1, key)
	}
	return result
}
