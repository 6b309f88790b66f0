// Command simadapter runs controllers for the simulator: it reads frames from standard input and writes the replies to
// standard output.
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
