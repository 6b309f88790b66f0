package processtest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

// portHolderStart is the environment variable that makes the test binary run as a port holder. Its value is the number
// of the block at which the holder begins its search for a free block.
const portHolderStart = "PROCESSTEST_PORT_HOLDER_START"

// runPortHolder is the main function of a port holder. It reserves a block, starts a child process that survives a kill
// of the holder, and prints as many addresses as the block has ports. When the standard input ends, the child process
// exits, and runPortHolder returns the exit status.
func runPortHolder(start string) int {
	if err := holdPorts(start); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

func holdPorts(start string) error {
	startBlock, err := strconv.Atoi(start)
	if err != nil {
		return err
	}
	block, err := reservePortBlock(startBlock)
	if err != nil {
		return err
	}
	child := exec.Command("cat")
	child.Stdin = os.Stdin
	if err := child.Start(); err != nil {
		return err
	}
	for range blockSize {
		address, err := block.freeAddress()
		if err != nil {
			return err
		}
		fmt.Println(address)
	}
	return child.Wait()
}

// portHolder is a process that holds a block of ports.
type portHolder struct {
	command *exec.Cmd
	ports   []int // allocated by the holder, in order
}

// startPortHolder starts a port holder, which begins its search for a free block at startBlock, and reads the ports
// that the holder allocates.
func startPortHolder(t *testing.T, startBlock int) *portHolder {
	t.Helper()
	executable, err := os.Executable()
	require.NoError(t, err)
	holder := &portHolder{command: exec.Command(executable)}
	holder.command.Env = append(os.Environ(), fmt.Sprintf("%s=%d", portHolderStart, startBlock))
	holder.command.Stderr = os.Stderr
	input, err := holder.command.StdinPipe()
	require.NoError(t, err)
	output, err := holder.command.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, holder.command.Start())
	t.Cleanup(func() {
		_ = input.Close()         // ends the holder and its child process
		_ = holder.command.Wait() // fails if the test has killed the holder
	})
	holder.readPorts(t, output)
	return holder
}

func (h *portHolder) readPorts(t *testing.T, output io.Reader) {
	t.Helper()
	lines := bufio.NewScanner(output)
	for range blockSize {
		require.True(t, lines.Scan(), "the holder ended early")
		_, port, err := net.SplitHostPort(lines.Text())
		require.NoError(t, err)
		number, err := strconv.Atoi(port)
		require.NoError(t, err)
		h.ports = append(h.ports, number)
	}
}

// kill kills the holder and waits for its exit. Its child process keeps running.
func (h *portHolder) kill(t *testing.T) {
	t.Helper()
	require.NoError(t, h.command.Process.Kill())
	_, err := h.command.Process.Wait()
	require.NoError(t, err)
}

// block returns the number of the holder's block, and requires that all its ports belong to that block.
func (h *portHolder) block(t *testing.T) int {
	t.Helper()
	block := (h.ports[0] - firstPort) / blockSize
	for _, port := range h.ports {
		require.Equal(t, block, (port-firstPort)/blockSize)
	}
	return block
}

// Guards against two test processes using the same port: the servers listen with SO_REUSEPORT, so two of them on one
// port would share its connections. Two processes that begin their search at the same block must get different blocks.
func TestProcessesHoldDifferentPortBlocks(t *testing.T) {
	t.Parallel()
	first := startPortHolder(t, 0)
	second := startPortHolder(t, first.block(t))
	require.NotEqual(t, first.block(t), second.block(t))
}

// Guards against running out of port blocks: the block of a killed process must become free, even while a child process
// of the killed process still runs.
func TestPortBlockIsFreeAfterHolderIsKilled(t *testing.T) {
	t.Parallel()
	const attempts = 5 // another test process may get the block first
	for range attempts {
		holder := startPortHolder(t, blockCount/2)
		block := holder.block(t)
		holder.kill(t)
		if startPortHolder(t, block).block(t) == block {
			return
		}
	}
	require.Fail(t, "the block of a killed holder was free in none of the attempts")
}

// A block allocates each of its ports once before it allocates any port again. It skips ports in use.
func TestPortBlockAllocatesEachPortOnce(t *testing.T) {
	t.Parallel()
	block, err := reservePortBlock(0)
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, block.reservation.Close()) })
	inUse, err := block.freeAddress()
	require.NoError(t, err)
	listener, err := net.Listen("tcp", inUse)
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, listener.Close()) })
	first, err := block.freeAddress()
	require.NoError(t, err)
	allocated := []string{first}
	for address := ""; address != first; allocated = append(allocated, address) {
		address, err = block.freeAddress()
		require.NoError(t, err)
		require.NotContains(t, allocated[1:], address)
	}
	require.Greater(t, len(allocated), blockSize/2) // other programs may use some of the ports
	require.NotContains(t, allocated, inUse)
	require.NotContains(t, allocated, block.reservation.Addr().String())
}
