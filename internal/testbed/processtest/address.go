package processtest

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
)

// The range of ports that are given out. It lies below the one that the system gives to connections: this guards a
// server that is to listen against a connection of another test that got its port meanwhile.
const (
	firstPort = 10_000
	portCount = 22_000
)

// portAllocator gives out ports of the loopback, each once before any comes again.
type portAllocator struct {
	next atomic.Uint32
}

// loopbackPorts is shared by the whole test process, as the ports of the loopback are. It begins at random, so that
// tests of other packages begin elsewhere.
var loopbackPorts = newPortAllocator()

func newPortAllocator() *portAllocator {
	a := &portAllocator{}
	a.next.Store(rand.Uint32N(portCount))
	return a
}

// FreeAddress returns an address of the loopback on which nothing listens now.
func FreeAddress() (string, error) {
	for range portCount {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+loopbackPorts.next.Add(1)%portCount)
		if listener, err := net.Listen("tcp", address); err == nil {
			return address, listener.Close()
		}
	}
	return "", errors.New("processtest: no port of the loopback is free")
}
