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

// tryCmd shows a newcomer what the program does: three log servers that hold copies for each other, in a temporary folder, one of
// which is lost. Requests of one class call a vault.
type tryCmd struct {
	Log bool `help:"Print at the end what the servers have logged."`
}

var said = map[thrift.ReplyKind]string{thrift.ReplyAnswer: "served", thrift.ReplyThrottled: "refused before it ran", thrift.ReplyBroken: "failed"}

// callingClass is the class of the example's configuration whose requests call the vault.
const callingClass = "lot-update"

// resultOf is the result that the toy worker pool makes for a request.
func resultOf(class, key string) string {
	result := "did " + key
	if class == callingClass {
		result += " got kept " + processtest.CallBody(1, key)
	}
	return result
}

// run plays it; program is this program's own path.
func (c tryCmd) run(program string, out io.Writer) (err error) {
	var file struct{ Settings json.RawMessage }
	if err := json.Unmarshal(example.Config, &file); err != nil {
		return err
	}
	g, err := processtest.NewCluster(program, file.Settings, 3, 3)
	if g != nil {
		defer func() { err = errors.Join(err, g.Close()) }()
	}
	if err != nil {
		return err
	}
	fmt.Fprintln(out, "Three log servers, each with a toy worker pool, hold copies of intakes for each other.")
	fmt.Fprintf(out, "A run of class %s calls a toy vault, and goes on with its reply.\n", callingClass)
	fmt.Fprintln(out)
	if err := g.StartAll(); err != nil {
		return err
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "SERVER\tCLASS\tREQUEST\tANSWER\tRESULT\tRUNS SO FAR")
	wrong := error(nil)
	send := func(id int, class, key string, retry, same bool) {
		told, err := g.Send(id, class, key, time.Now(), retry)
		runs := len(g.RunLog.Runs(key))
		answer := said[told.Kind]
		if err != nil {
			answer = err.Error()
		}
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%d\n", id, class, key, answer, told.Result, runs)
		if told.Kind != thrift.ReplyAnswer || told.Result != resultOf(class, key) || same && runs != 1 {
			wrong = errors.Join(wrong, fmt.Errorf("try: %s at server %d: %s %q after %d runs", key, id, answer, told.Result, runs))
		}
	}
	note := func(text string) { fmt.Fprintf(w, "-\t\t%s\t\t\t\n", text) }
	send(1, "block-view", "block-4", false, false)
	send(2, callingClass, "lot-12", false, false)
	send(1, "lot-intake", "basket-17", false, true)
	if err := errors.Join(g.Kill(1), g.Wipe(1)); err != nil {
		return err
	}
	note("server 1 is killed, its folder is lost")
	send(2, "lot-intake", "basket-17", true, true)
	send(3, "lot-intake", "basket-18", false, true)
	if err := g.Start(1); err != nil {
		return err
	}
	if err := g.AwaitStable(); err != nil {
		return err
	}
	s, err := g.State(1)
	if err != nil {
		return err
	}
	note(fmt.Sprintf("server 1 is back, and holds %d intakes", s.Counters.Held))
	send(1, "lot-intake", "basket-17", true, true)
	send(1, "lot-intake", "basket-18", true, true)
	if err := w.Flush(); err != nil {
		return err
	}
	fmt.Fprintln(out)
	fmt.Fprintln(out, "Each intake ran once; the server that was lost found both results at the others.")
	if c.Log {
		fmt.Fprint(out, "\n"+g.Log())
	}
	return wrong
}

func (c tryCmd) do(out io.Writer) error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	return c.run(program, out)
}
