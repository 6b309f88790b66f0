// Command drill hosts controller instances on the simulator's wire: frames in on standard input, replies out.
package main

import (
	"fmt"
	"os"

	"pewterline/internal/wire"
)

func main() {
	if err := wire.NewHost().Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		os.Exit(1)
	}
}
