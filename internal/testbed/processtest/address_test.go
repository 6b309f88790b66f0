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

// portHolderStart is the environment variable that makes the test binary a port holder. Its value is the block at which
// the holder begins to look for a free one.
const portHolderStart = "PROCESSTEST_PORT_HOLDER_START"

// runPortHolder reserves a block, starts a program that outlives the holder if that is killed, and prints as many
// addresses as the block has ports. It returns the exit status once the standard input ends.
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
	ports   []int // that it has given out
}

// startPortHolder starts a process that looks for a free block from the given one on, and reads what it gives out.
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
		_ = input.Close()         // ends the holder and the program that it has started
		_ = holder.command.Wait() // an error says that the test has killed it
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

// kill kills the holder and waits for its end. The program that it has started lives on.
func (h *portHolder) kill(t *testing.T) {
	t.Helper()
	require.NoError(t, h.command.Process.Kill())
	_, err := h.command.Process.Wait()
	require.NoError(t, err)
}

// block returns the number of the block from which all ports of the holder come.
func (h *portHolder) block(t *testing.T) int {
	t.Helper()
	block := (h.ports[0] - firstPort) / blockSize
	for _, port := range h.ports {
		require.Equal(t, block, (port-firstPort)/blockSize)
	}
	return block
}

// Guards the servers of one test process against those of another: with SO_REUSEPORT, two servers on one port would
// share its connections. Two processes that look for a block from the same one on never get the same.
func TestProcessesHoldDifferentPortBlocks(t *testing.T) {
	t.Parallel()
	one := startPortHolder(t, 0)
	other := startPortHolder(t, one.block(t))
	require.NotEqual(t, one.block(t), other.block(t))
}

// Guards later test processes against running out of ports: the block of a killed process is free again, also while a
// program that the process has started lives on.
func TestPortBlockIsFreeAfterItsHolder(t *testing.T) {
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
	require.Fail(t, "no block became free")
}

// Each port of a block is given out before any comes again, except one on which something listens.
func TestPortsOfABlock(t *testing.T) {
	t.Parallel()
	block, err := reservePortBlock(0)
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, block.reservation.Close()) })
	taken, err := block.freeAddress()
	require.NoError(t, err)
	listener, err := net.Listen("tcp", taken)
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, listener.Close()) })
	first, err := block.freeAddress()
	require.NoError(t, err)
	given := []string{first}
	for address := ""; address != first; given = append(given, address) {
		address, err = block.freeAddress()
		require.NoError(t, err)
		require.NotContains(t, given[1:], address)
	}
	require.Greater(t, len(given), blockSize/2) // other programs may listen on some
	require.NotContains(t, given, taken)
	require.NotContains(t, given, block.reservation.Addr().String())
}
