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

// wallClockFile is the file in a server's folder with the offset of its wall clock. Only a program built with the tag
// faults reads it.
const wallClockFile = "wall"

// diskFaultSuffix is appended to the path of a data folder to form the path of the file that makes its disk fail.
const diskFaultSuffix = ".fault"

// RelayBetween returns the relay through which one server connects to another.
func (c *Cluster) RelayBetween(from, to int) *Relay { return c.member(from).relays[to] }

// ForEachRelayOf calls do for each relay of a server, both for the connections that the server opens and for those that
// it accepts.
func (c *Cluster) ForEachRelayOf(id int, do func(*Relay)) {
	for _, member := range c.Servers {
		if member.ID != id {
			do(c.RelayBetween(id, member.ID))
			do(c.RelayBetween(member.ID, id))
		}
	}
}

// DropOutgoing drops all data that a server sends to the others, both on connections that it opens and on those that it
// accepts.
func (c *Cluster) DropOutgoing(id int) {
	for _, member := range c.Servers {
		if member.ID != id {
			c.RelayBetween(id, member.ID).Drop(Forward)
			c.RelayBetween(member.ID, id).Drop(Backward)
		}
	}
}

// Kill kills a server's process with SIGKILL, as the loss of its machine would.
func (c *Cluster) Kill(id int) error {
	process := c.member(id).Process()
	if process == nil || process.Ended() {
		return nil
	}
	if err := process.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	// The exit status is that of a killed process and needs no check. Ended reports below whether Wait timed out.
	_ = process.Wait()
	if !process.Ended() {
		return fmt.Errorf("processtest: kill server %d: %w", id, ErrTimeout)
	}
	return nil
}

// Wipe removes the data folder of a server. Its process must have exited.
func (c *Cluster) Wipe(id int) error { return os.RemoveAll(c.member(id).DataDir) }

// SetDiskFault injects a fault into the disk of a server; "" ends it. The program must be built with the tag faults.
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

// SetClockOffset sets the offset of a server's wall clock from now on. The program must be built with the tag faults.
func (c *Cluster) SetClockOffset(id, milliseconds int) error {
	path := filepath.Join(c.member(id).Dir, wallClockFile)
	return os.WriteFile(path, []byte(strconv.Itoa(milliseconds)), 0o600)
}

// Stall stops a server's process until Resume.
func (c *Cluster) Stall(id int) error { return c.member(id).Process().Stall() }

// Resume continues a stalled process.
func (c *Cluster) Resume(id int) error { return c.member(id).Process().Signal(syscall.SIGCONT) }

// Pause stops a server's process for a duration. It ignores errors: the process may have exited.
func (c *Cluster) Pause(id int, duration time.Duration) {
	pauseProcess(c.member(id).Process(), duration)
}
