package calls_test

import (
	"fmt"

	"pewterline/control"
	"pewterline/internal/decide/calls"
	"pewterline/internal/microtime"
)

// A host makes a call and opens a connection for the pool. The connection breaks before the reply, and the host checks
// whether the call may be repeated.
func ExamplePool() {
	pool := calls.NewPool()
	now := 100 * microtime.Second
	carryOut := func() {
		for _, action := range pool.Actions() {
			fmt.Printf("%T%+v\n", action, action)
		}
	}

	pool.Call(now, calls.Request{ID: "r1", Timeout: microtime.Second})
	carryOut()
	conn := pool.Opened(now)
	carryOut()
	pool.ConnClosed(conn)
	carryOut()
	fmt.Println("effect:", calls.ConnectionLost.Effect())
	fmt.Println("again:", calls.MayRepeat(control.NonIdempotent, calls.ConnectionLost))
	// Output:
	// calls.Dial{}
	// calls.Send{Conn:1 ID:r1 Timeout:1000000 Body:[]}
	// calls.Complete{ID:r1 Outcome:connection lost Reply:[]}
	// effect: maybe executed
	// again: false
}
