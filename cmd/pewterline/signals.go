package main

import (
	"log"
	"os"
	"syscall"

	"pewterline/internal/config"
	"pewterline/internal/microtime"
	"pewterline/internal/server"
)

// filesMost are the reloads that may wait, which is many for one that reads files.
const filesMost = 8

// split tells signals apart as they come: leave gets the time of the first notice to leave, as whoever sent it counts from then, and
// files each wish to have the files read anew. Guards the notice against all that takes its time: the start, and a file that
// is slow to read.
func split(signals <-chan os.Signal, clock microtime.Clock, ended <-chan struct{}) (leave <-chan microtime.Time, files <-chan struct{}) {
	l, f := make(chan microtime.Time, 1), make(chan struct{}, filesMost)
	go func() {
		for {
			select {
			case <-ended:
				return
			case sig := <-signals:
				if sig != syscall.SIGHUP {
					select {
					case l <- clock.Now():
						log.Printf("%v: told to leave", sig)
					default: // it has been told
					}
					continue
				}
				select {
				case f <- struct{}{}:
				default: // one that waits reads what is there by then
				}
			}
		}
	}()
	return l, f
}

// executor is the loop, as signals need it.
type executor interface {
	Execute(func()) error
}

// obey carries out what the signals ask for, each kind by itself, until the program has ended.
func obey(leave <-chan microtime.Time, files, ended <-chan struct{}, loop executor, srv *server.Server) {
	go func() {
		for {
			select {
			case <-ended:
				return
			case <-files:
				reload(loop, srv)
			}
		}
	}()
	for {
		select {
		case <-ended:
			return
		case at := <-leave:
			execute(loop, "SIGTERM", func() { srv.Shutdown(at) })
		}
	}
}

// reload is SIGHUP: the files are read and checked as a whole before anything changes, as a faulty one must not harm a server
// that serves.
func reload(loop executor, srv *server.Server) {
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		log.Printf("SIGHUP: %v; nothing has changed", err)
		execute(loop, "SIGHUP", srv.ReloadRejected)
		return
	}
	execute(loop, "SIGHUP", func() {
		if err := srv.Reload(cfg); err != nil {
			log.Printf("SIGHUP: %v; nothing has changed", err)
		}
	})
}

func execute(loop executor, name string, f func()) {
	if err := loop.Execute(f); err != nil {
		log.Printf("%s: %v", name, err)
	}
}
