// Command standin-2 plays the cases of the second review. It starts the project's own programs as separate processes,
// plays their clients, their worker pools and the operators, and writes what happened to a record. It exits with 0 if
// the rule of the case held, with 1 if it was broken, and with 2 if the case could not run. TROUBLE=0 in the
// environment plays a case without its disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFault  = 2
)

// longestPlay bounds a play; the program ends itself after it.
const longestPlay = 110 * time.Second

// scenario plays one case in a world. It reports broken rules to the world, and returns an error if the case could not
// run.
type scenario func(*world) error

func scenarios() map[string]scenario {
	return map[string]scenario{
		"restart-overlap":     restartOverlap,
		"drain-waiting-retry": drainWaitingRetry,
		"edge-descriptors":    edgeDescriptors,
		"upgrade-desk-key":    upgradeDeskKey,
		"edge-with-store":     edgeWithStore,
	}
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 2 || scenarios()[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE RECORD-FILE, from the root of the repository")
		return exitFault
	}
	play, err := newWorld(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin-2:", err)
		return exitFault
	}
	defer play.close()
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, syscall.SIGINT, syscall.SIGTERM)
	ended := make(chan error, 1)
	go func() { ended <- scenarios()[args[0]](play) }() // ends with the play, or with this program
	select {
	case err = <-ended:
	case got := <-interrupts:
		err = fmt.Errorf("interrupted by %v", got)
	case <-time.After(longestPlay):
		err = fmt.Errorf("the play did not end within %v", longestPlay)
	}
	return play.verdict(err)
}
