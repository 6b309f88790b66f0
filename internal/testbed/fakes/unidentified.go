package fakes

import (
	"math/rand/v2"

	"pewterline/internal/microtime"
	"pewterline/internal/testbed/simnet"
)

const (
	unidentifiedNode = "x0"
	// unidentifiedInterval is the interval between unidentified connections.
	unidentifiedInterval = 5 * microtime.Millisecond
	// unidentifiedLifetime is how long an unidentified connection stays open.
	unidentifiedLifetime = 5 * microtime.Second
)

// ConnectUnidentified opens connections to the Thrift and AJP ports of a server. Each sends nothing, an incomplete
// message or an invalid one.
func (e *Environment) ConnectUnidentified(server string, count int, rng *rand.Rand) {
	node := e.Net.Node(unidentifiedNode)
	if !node.Up() {
		node.Boot()
	}
	for i := range count {
		address := server + "/" + []string{"thrift", "ajp"}[rng.IntN(2)]
		e.Clock.In(microtime.Time(i)*unidentifiedInterval, func() {
			node.Dial(address, func(stream *simnet.Stream, err error) {
				if err != nil {
					return
				}
				stream.SetHandler(discardHandler{})
				switch rng.IntN(3) {
				case 0: // the start of a Thrift frame that is never completed
					stream.Write([]byte{0, 0, 0, 60, 0x80, 1, 0, 1, 0, 0})
				case 1:
					stream.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
				}
				e.Clock.In(unidentifiedLifetime, stream.Close)
			})
		})
	}
}

// discardHandler is a handler that discards what it receives.
type discardHandler struct{}

// Received implements simnet.Handler.
func (discardHandler) Received(*simnet.Stream, []byte) {}

// EOF implements simnet.Handler.
func (discardHandler) EOF(stream *simnet.Stream) { stream.Close() }

// Reset implements simnet.Handler.
func (discardHandler) Reset(*simnet.Stream) {}
