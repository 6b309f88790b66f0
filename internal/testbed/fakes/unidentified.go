package fakes

import (
	"math/rand/v2"

	"pewterline/internal/microtime"
	"pewterline/internal/testbed/simnet"
)

const (
	strangerNode = "x0"
	// strangerInterval is the pause between two unidentified connections.
	strangerInterval = 5 * microtime.Millisecond
	// strangerLifetime is how long an unidentified connection stays open.
	strangerLifetime = 5 * microtime.Second
)

// ConnectUnidentified connects a number of times to a server: some connections carry nothing, some half of a
// message, some what is no message.
func (e *Environment) ConnectUnidentified(server string, count int, rng *rand.Rand) {
	node := e.Net.Node(strangerNode)
	if !node.Up() {
		node.Boot()
	}
	for i := range count {
		address := server + "/" + []string{"thrift", "ajp"}[rng.IntN(2)]
		e.World.In(microtime.Time(i)*strangerInterval, func() {
			node.Dial(address, func(stream *simnet.Stream, err error) {
				if err != nil {
					return
				}
				stream.SetHandler(silent{})
				switch rng.IntN(3) {
				case 0: // the head of a Thrift frame whose rest never comes
					stream.Write([]byte{0, 0, 0, 60, 0x80, 1, 0, 1, 0, 0})
				case 1:
					stream.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
				}
				e.World.In(strangerLifetime, stream.Close)
			})
		})
	}
}

// silent reads and does nothing.
type silent struct{}

// Received is part of simnet.Handler.
func (silent) Received(*simnet.Stream, []byte) {}

// EOF is part of simnet.Handler.
func (silent) EOF(stream *simnet.Stream) { stream.Close() }

// Reset is part of simnet.Handler.
func (silent) Reset(*simnet.Stream) {}
