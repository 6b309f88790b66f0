package main

import (
	"errors"
	"fmt"
	"syscall"
	"time"
)

const (
	// startDelay is the time from the notice to drain to the start of the new process.
	startDelay = 100 * time.Millisecond
	// intakeDelay is the time from then to the intake. The new process has reached its wait by then.
	intakeDelay = time.Second
	// longBody makes the work of an intake that the old process cannot end before its stop: 10 times the usual 0.38 s.
	longBody = "work=4000 a costly lot"
)

// restartOverlap plays a restart of a log server with a store of record. The new process is started while the old one
// still drains. An intake that comes in that time runs in the old process and fails at its stop. The caller sends it
// again.
func restartOverlap(play *world) error {
	file := play.path("store.toml")
	if err := writeStoreFile(file, play.path("intakes.db")); err != nil {
		return err
	}
	options := startOptions{name: "n1", env: []string{"RELAY_STORE=" + file}, dir: play.path("t")}
	old, err := play.startWithPool(options)
	if err != nil {
		return err
	}
	options.listen = old.listen
	if err := old.signal(syscall.SIGTERM); err != nil {
		return err
	}
	started := make(chan error, 1)
	startNew := func() {
		_, err := play.startWithPool(options)
		started <- err
	}
	if play.trouble {
		time.Sleep(startDelay)
		go startNew()
	}
	time.Sleep(intakeDelay)
	intake := try{class: intakeClass, key: "lot-5", body: longBody}
	got, err := play.ask(old.listen, intake)
	if err != nil || !got.final() || got.served() {
		return errors.Join(fmt.Errorf("the intake did not fail at the stop: %v", got), err)
	}
	if !old.awaitEnd(stopMS * time.Millisecond) {
		return errors.New("the old process did not end")
	}
	if !play.trouble {
		go startNew()
	}
	if err := <-started; err != nil {
		return err
	}
	intake.retry = true
	if _, err := play.ask(old.listen, intake); err != nil {
		return err
	}
	play.checkRuns(longBody)
	return nil
}

// checkRuns checks that the intake of a body has run at most once, over all worker pools.
func (w *world) checkRuns(body string) {
	var runs []startedRun
	for _, pool := range w.pools {
		runs = append(runs, pool.runsOf(body)...)
	}
	if len(runs) > 1 {
		w.brokenf("duplicate: the intake %q ran as %s and %v later as %s", body, runs[0].id,
			runs[1].at.Sub(runs[0].at).Round(time.Millisecond), runs[1].id)
	}
}
