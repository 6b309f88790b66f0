package main

import (
	"errors"
	"fmt"
	"os"
	"time"
)

const (
	// storedBody makes the work of an intake that runs while the connections are reset.
	storedBody = "work=1500 lot"
	// resetDelay is the time from the intake to the reset, and resendPause the caller's pause before each further try.
	resetDelay  = 500 * time.Millisecond
	resendPause = 2 * time.Second
	// clientRetries is how often clients retry by themselves.
	clientRetries = 2
	// quietTime is longer than the retention window of the intake, 13.518 s.
	quietTime = 15 * time.Second
	// lateReads is how many reads are sent after quietTime, one after each readPause.
	lateReads = 12
	readPause = time.Second
)

// edgeWithStore plays an intake through an edge that has a store of record. The connections between the edge and its
// log server are reset once while the intake runs. The caller sends it again. Later other callers send reads.
func edgeWithStore(play *world) error {
	pool, err := play.newPool("pool")
	if err != nil {
		return err
	}
	server, err := play.startReady(startOptions{name: "n1", pool: pool.address()})
	if err != nil {
		return err
	}
	path, err := newRelay(server.listen)
	if err != nil {
		return err
	}
	edge, err := play.startEdgeWithStore(path.address())
	if err != nil {
		return err
	}
	intake := try{class: intakeClass, key: "lot-3", body: storedBody}
	first, err := play.send(edge.listen, intake)
	if err != nil {
		return err
	}
	time.Sleep(resetDelay)
	if play.trouble {
		play.notef("the connections between the edge and its log server are reset")
		path.resetAll()
	}
	got := <-first.answer
	if !play.trouble && !got.served() {
		return fmt.Errorf("the intake was not served: %v", got)
	}
	intake.retry = true
	for range clientRetries {
		time.Sleep(resendPause)
		if got, err = play.ask(edge.listen, intake); err != nil {
			return err
		}
	}
	if runs := pool.runsOf(storedBody); len(runs) != 1 {
		return fmt.Errorf("the intake ran %d times", len(runs))
	}
	if !got.served() {
		play.brokenf("lost: the log server has the result of the intake; none of the further tries got it: %s", got.kind)
	}
	return play.checkReads(edge, server)
}

// checkReads sends reads to the edge after a quiet time, and to the log server behind it, which has to serve them.
func (w *world) checkReads(edge, server *process) error {
	time.Sleep(quietTime)
	read := try{class: readClass, body: "a block"}
	served := 0
	for range lateReads {
		time.Sleep(readPause)
		got, err := w.ask(edge.listen, read)
		if err != nil {
			return err
		}
		if got.served() {
			served++
		}
	}
	direct, err := w.ask(server.listen, read)
	if err != nil || !direct.served() {
		return errors.Join(fmt.Errorf("the log server itself does not serve: %v", direct), err)
	}
	if served == 0 {
		w.brokenf("hang: the edge served none of %d reads, which began %v after the last try", lateReads, quietTime)
	}
	return nil
}

// startEdgeWithStore starts an edge in front of one log server, with a store of record in SQLite.
func (w *world) startEdgeWithStore(server string) (*process, error) {
	fleet, store := w.path("fleet.toml"), w.path("store.toml")
	text := fmt.Appendf(nil, "[[server]]\nname = \"n1\"\naddress = %q\n", server)
	if err := os.WriteFile(fleet, text, 0o600); err != nil {
		return nil, err
	}
	if err := writeStoreFile(store, w.path("intakes.db")); err != nil {
		return nil, err
	}
	return w.startReady(startOptions{name: "edge", env: []string{"RELAY_FLEET=" + fleet, "RELAY_STORE=" + store}})
}
