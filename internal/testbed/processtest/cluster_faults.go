package processtest

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"syscall"
	"time"
)

// wallClockFile is the file in a server's folder that sets its wall clock off, where the program is built with the tag
// faults.
const wallClockFile = "wall"

// diskFaultSuffix makes of a data folder's path that of the file that has the disk fail.
const diskFaultSuffix = ".fault"

// RelayBetween returns the relay by which one server reaches another.
func (c *Cluster) RelayBetween(from, to int) *Relay { return c.member(from).relays[to] }

// RelaysOf does something to all relays of a server, both those of the connections that it opens and those of the
// connections that are opened to it.
func (c *Cluster) RelaysOf(id int, do func(*Relay)) {
	for _, member := range c.Servers {
		if member.ID != id {
			do(c.RelayBetween(id, member.ID))
			do(c.RelayBetween(member.ID, id))
		}
	}
}

// Isolate has nothing that a server sends reach the others, in whichever direction a connection was opened.
func (c *Cluster) Isolate(id int) {
	for _, member := range c.Servers {
		if member.ID != id {
			c.RelayBetween(id, member.ID).Drop(Forward)
			c.RelayBetween(member.ID, id).Drop(Backward)
		}
	}
}

// Kill ends a server's process, as a lost machine does.
func (c *Cluster) Kill(id int) error {
	process := c.member(id).Process()
	if process == nil || process.Ended() {
		return nil
	}
	if err := process.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	// How it exited is known: it was killed. Whether it has ended is asked below.
	_ = process.Wait()
	if !process.Ended() {
		return fmt.Errorf("processtest: kill server %d: %w", id, ErrTimeout)
	}
	return nil
}

// Wipe removes what a server holds on its disk. Its process has to have ended.
func (c *Cluster) Wipe(id int) error { return os.RemoveAll(c.member(id).DataDir) }

// SetDiskFault has the disk of a server fail, where the program is built with the tag faults; "" heals it.
func (c *Cluster) SetDiskFault(id int, fault string) error {
	path := c.member(id).DataDir + diskFaultSuffix
	if fault != "" {
		return os.WriteFile(path, []byte(fault), 0o600)
	}
	err := os.Remove(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	return err
}

// SetClockOffset has a server's wall clock off by so many milliseconds from now on, where the program is built with the
// tag faults.
func (c *Cluster) SetClockOffset(id, milliseconds int) error {
	path := filepath.Join(c.member(id).Dir, wallClockFile)
	return os.WriteFile(path, []byte(strconv.Itoa(milliseconds)), 0o600)
}

// Stall stops a server's process; Resume has it go on.
func (c *Cluster) Stall(id int) error { return c.member(id).Process().Stall() }

// Resume has a stalled process go on.
func (c *Cluster) Resume(id int) error { return c.member(id).Process().Signal(syscall.SIGCONT) }

// Pause stops a server's process for a while. It may end meanwhile: then there is nothing to stop.
func (c *Cluster) Pause(id int, duration time.Duration) {
	pauseProcess(c.member(id).Process(), duration)
}
