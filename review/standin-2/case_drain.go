package main

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"time"

	"pewterline/internal/testbed/processtest"
)

const (
	groupServers = 3
	// costlyBody makes the work of a costly intake: 21 times the usual 0.38 s.
	costlyBody = "work=8000 costly lot"
	// patience is how long the proxy waits for the first try: as long as an answer is worth anything, the class's aim.
	patience = 1800 * time.Millisecond
	// noticePause is the time from the further try to the notice to drain.
	noticePause = 300 * time.Millisecond
	// groupLimit is how long the group may take to start.
	groupLimit = 20 * time.Second
)

// drainWaitingRetry plays a costly intake at server 1 of a replication group. Its proxy gives up and sends a further
// try to server 2, which waits there for the run. Server 2 is told to drain while the try waits.
func drainWaitingRetry(play *world) error {
	group, err := play.startGroup()
	if err != nil {
		return err
	}
	for _, server := range group {
		got, err := play.ask(server.listen, try{class: readClass, body: "a block"})
		if err != nil || !got.served() {
			return errors.Join(fmt.Errorf("%s serves no read: %v", server.name, got), err)
		}
	}
	intake := try{class: intakeClass, key: "lot-1", body: costlyBody}
	first, err := play.send(group[0].listen, intake)
	if err != nil {
		return err
	}
	time.Sleep(patience)
	if err := first.giveUp(play); err != nil {
		return err
	}
	intake.retry = true
	second, err := play.send(group[1].listen, intake)
	if err != nil {
		return err
	}
	time.Sleep(noticePause)
	if play.trouble {
		if err := group[1].signal(syscall.SIGTERM); err != nil {
			return err
		}
	}
	got := <-second.answer
	if play.trouble && !group[1].awaitEnd(stopMS*time.Millisecond) {
		return errors.New("the drained server did not end")
	}
	if !got.final() {
		play.brokenf("lost: the further try %s was read by %s and got no answer: %s", second.id, group[1].name, got.kind)
	}
	return nil
}

// startGroup starts the servers of a replication group, each with a worker pool, and waits until all can serve.
func (w *world) startGroup() ([]*process, error) {
	var addresses []string
	for range groupServers {
		address, err := processtest.FreeAddress()
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, address)
	}
	var group []*process
	for i := range groupServers {
		pool, err := w.newPool(fmt.Sprintf("pool %d", i+1))
		if err != nil {
			return nil, err
		}
		file := w.path(fmt.Sprintf("copies%d.toml", i+1))
		if err := os.WriteFile(file, []byte(copiesFile(i+1, addresses, w.path("held"))), 0o600); err != nil {
			return nil, err
		}
		options := startOptions{name: fmt.Sprintf("n%d", i+1), pool: pool.address(), env: []string{"RELAY_COPIES=" + file}}
		server, err := w.startReady(options)
		if err != nil {
			return nil, err
		}
		group = append(group, server)
	}
	return group, eventually(groupLimit, func() error {
		out, err := exec.Command("bin/pewterline", "replication", "bootstrap", "--admin", group[0].admin).CombinedOutput()
		if err != nil && !strings.Contains(string(out), "exists") {
			return fmt.Errorf("bootstrap: %w: %s", err, out)
		}
		return nil
	})
}

// copiesFile returns the replication file of a member.
func copiesFile(id int, addresses []string, folder string) string {
	var text strings.Builder
	fmt.Fprintf(&text, "id = %d\nlisten = %q\nfolder = \"%s%d\"\n", id, addresses[id-1], folder, id)
	for i, address := range addresses {
		fmt.Fprintf(&text, "[[member]]\nid = %d\naddress = %q\n", i+1, address)
	}
	return text.String()
}
