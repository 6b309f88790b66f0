package main

import (
	"errors"
	"fmt"
	"syscall"
	"time"
)

const (
	// startDelay is the time from the notice to drain to the start of the new process, and from there to the intakes.
	startDelay = 100 * time.Millisecond
	// quickBody makes the usual work, and slowBody that of an intake that the old process cannot end before its stop.
	quickBody = "a quick lot"
	slowBody  = "work=4000 a costly lot"
)

// restartOverlap plays a restart of a log server with a store of record. The new process is started while the old one
// still drains. Intakes that come in that time run in the old process; later their callers send them again.
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
	time.Sleep(2 * startDelay)
	if err := play.intakesWhileDraining(old); err != nil {
		return err
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
	for _, body := range []string{quickBody, slowBody} {
		again := try{class: intakeClass, key: body, body: body, retry: true}
		if _, err := play.ask(old.listen, again); err != nil {
			return err
		}
		play.checkRuns(body)
	}
	return nil
}

// intakesWhileDraining sends two intakes to a draining process and waits for their answers.
func (w *world) intakesWhileDraining(old *process) error {
	var sent []*pending
	for _, body := range []string{quickBody, slowBody} {
		intake, err := w.send(old.listen, try{class: intakeClass, key: body, body: body})
		if err != nil {
			return err
		}
		sent = append(sent, intake)
	}
	for _, intake := range sent {
		if got := <-intake.answer; !got.final() {
			return fmt.Errorf("an intake got no answer: %v", got)
		}
	}
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
