package main

import (
	"errors"
	"fmt"
	"os"
	"syscall"
	"time"

	"pewterline/internal/testbed/processtest"
)

const (
	// upgradeKill is when the platform kills the old process of an upgrade: after the longest deadline, at most 3 s, and
	// 0.7 s.
	upgradeKill = 3700 * time.Millisecond
	// deskKey is the idempotency key of an office's desk: a Thai word and a number in TIS-620, an encoding of one byte
	// for each character that older web front ends use.
	deskKey = "\xc5\xe7\xcd\xb5-17"
	// checkPause is the time from the desk's answer to the operator's next step.
	checkPause = 1500 * time.Millisecond
)

// upgradeDeskKey plays an upgrade. While both processes run, an office's desk sends an intake by AJP. The operator then
// ends the old process.
func upgradeDeskKey(play *world) error {
	desk, err := processtest.FreeAddress()
	if err != nil {
		return err
	}
	file := play.path("ajp.toml")
	if err := os.WriteFile(file, fmt.Appendf(nil, "[front]\nlisten = %q\n", desk), 0o600); err != nil {
		return err
	}
	options := startOptions{name: "n1", env: []string{"RELAY_AJP=" + file}, dir: play.path("t")}
	old, err := play.startWithPool(options)
	if err != nil {
		return err
	}
	options.listen = old.listen
	serving := old
	if play.trouble {
		if serving, err = play.startWithPool(options); err != nil {
			return err
		}
	}
	if status, err := play.askDesk(desk, deskKey); err != nil || status != statusServed {
		return errors.Join(fmt.Errorf("the desk's intake was answered with status %d", status), err)
	}
	time.Sleep(checkPause)
	if serving.ended() {
		play.brokenf("crash: the new process has ended after it was ready")
	}
	if play.trouble {
		if err := old.signal(syscall.SIGTERM); err != nil {
			return err
		}
		if !old.awaitEnd(upgradeKill) {
			return errors.New("the old process did not end")
		}
	}
	got, err := play.ask(old.listen, try{class: readClass, body: "a block"})
	if err != nil || !got.served() {
		play.brokenf("after the upgrade no process serves: %v %v", got, err)
	}
	return nil
}
