// Command pewterline is one log server: it accepts requests from proxies and web servers, decides when each runs, runs
// them on a worker pool and responds. It can also check the configuration files, operate a running server's
// replication, and run a demonstration. The package owns the process: its signals, its log, its limits, and its part in
// a hot restart. The server itself is package internal/server.
package main

import "os"

func main() {
	env := environment{getenv: os.Getenv, out: os.Stdout, errs: os.Stderr}
	os.Exit(run(os.Args[1:], env))
}
