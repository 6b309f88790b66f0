package processtest

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
)

// The ports that FreeAddress allocates, in blocks. They lie below the system's ephemeral port range. Otherwise an
// outgoing connection of another test could take an allocated port before the server listens on it.
const (
	firstPort  = 10_000
	blockSize  = 1_000 // ports
	blockCount = 22
)

// portBlock is a block of loopback ports that is reserved for one process. It allocates each port except the first once
// before it allocates any of them again.
type portBlock struct {
	first       int
	allocations atomic.Uint32
	// reservation listens on the first port, without SO_REUSEPORT, until the process exits. The system closes it even
	// if the process is killed, and child processes do not inherit it.
	reservation net.Listener
}

// processBlock returns the block of this process. The first call reserves it.
var processBlock = sync.OnceValues(func() (*portBlock, error) { return reservePortBlock(rand.IntN(blockCount)) })

// reservePortBlock reserves the first block that no other process holds. The search begins at block number start.
func reservePortBlock(start int) (*portBlock, error) {
	var lastErr error
	for i := range blockCount {
		first := firstPort + (start+i)%blockCount*blockSize
		reservation, err := net.Listen("tcp", loopbackAddress(first))
		if err == nil {
			return &portBlock{first: first, reservation: reservation}, nil
		}
		lastErr = err
	}
	return nil, fmt.Errorf("%w: %w", ErrNoPortBlock, lastErr)
}

// FreeAddress returns a loopback address on which nothing listens at the moment. FreeAddress returns it to no other
// process until this process exits.
func FreeAddress() (string, error) {
	block, err := processBlock()
	if err != nil {
		return "", err
	}
	return block.freeAddress()
}

// freeAddress returns the next address of the block on which nothing listens.
func (b *portBlock) freeAddress() (string, error) {
	const usable = blockSize - 1 // without the port of the reservation
	for range usable {
		address := loopbackAddress(b.first + 1 + int(b.allocations.Add(1)%usable))
		if listener, err := net.Listen("tcp", address); err == nil {
			return address, listener.Close()
		}
	}
	return "", ErrNoFreePort
}

func loopbackAddress(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
