package processtest

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
)

// The ports that are given out, in blocks. They lie below the range that the system gives to connections: this guards a
// server that is to listen against a connection of another test that got its port meanwhile.
const (
	firstPort  = 10_000
	blockSize  = 1_000 // ports
	blockCount = 22
)

// portBlock is a block of ports of the loopback that one process holds. It gives out each of them, but the first, once
// before any comes again.
type portBlock struct {
	first int
	given atomic.Uint32
	// reservation listens on the first port, without SO_REUSEPORT, as long as the process lives. The system closes it
	// however the process ends, and the programs that the process starts do not inherit it.
	reservation net.Listener
}

// processBlock returns the block of this process.
var processBlock = sync.OnceValues(func() (*portBlock, error) { return reservePortBlock(rand.IntN(blockCount)) })

// reservePortBlock returns the first block from the given one on that no process holds.
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

// FreeAddress returns an address of the loopback on which nothing listens now. As long as this process lives, no other
// process gets it from FreeAddress.
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
		address := loopbackAddress(b.first + 1 + int(b.given.Add(1)%usable))
		if listener, err := net.Listen("tcp", address); err == nil {
			return address, listener.Close()
		}
	}
	return "", ErrNoFreePort
}

func loopbackAddress(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
