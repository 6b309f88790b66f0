// Command pewterline is one log server: it takes requests from proxies and from web servers, decides what runs when,
// has the work done by a worker pool and answers. It can also check the configuration files, operate a running server's
// replication, and show itself at work.
//
// The package owns the process: its signals, its log, its limits, and what a hot restart does to it. What a server does
// is internal/server's.
package main

import "os"

func main() {
	env := environment{getenv: os.Getenv, out: os.Stdout, errs: os.Stderr}
	os.Exit(run(os.Args[1:], env))
}
