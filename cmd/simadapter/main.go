// Command simadapter hosts controller instances on the simulator's wire: frames in on standard input, replies out.
package main

import (
	"fmt"
	"os"

	"pewterline/internal/simadapter"
)

func main() {
	if err := simadapter.NewHost().Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}
