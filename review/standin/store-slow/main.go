// Command store-slow plays case 3: the store of record slows down fivefold for a while.
package main

import (
	"fmt"
	"strconv"
	"sync"
	"time"

	"review/lab"
)

const (
	cores    = 2
	work     = 300 * time.Millisecond
	commit   = 240 * time.Millisecond
	slowdown = 5
	rush     = 6 * time.Second
	spacing  = 700 * time.Millisecond // between two new intakes
	own      = 400 * time.Millisecond // after which a client that does not heed advice comes back
	quiet    = 12 * time.Second
)

func main() { lab.Main(play) }

func play(l *lab.Lab) (string, error) {
	started := func(run lab.Run) { l.Note("pool: run %s of %s begins, body %q", run.ID, run.Class, run.Body) }
	pool, err := lab.StartPool(&lab.Pool{Cores: cores, Work: func(lab.Run) time.Duration { return work }, Started: started})
	if err != nil {
		return "", err
	}
	defer pool.Close()
	database, err := lab.StartPostgres(&lab.Postgres{Commit: commit, Committed: func(statements int, took time.Duration) {
		l.Note("store: commit of %d records took %v", statements, took.Round(time.Millisecond))
	}})
	if err != nil {
		return "", err
	}
	defer database.Close()
	listen := lab.Port()
	config, err := l.JSON("config.json", lab.Config("n1", listen, pool.Address(), cores))
	if err != nil {
		return "", err
	}
	store, err := l.File("store.toml", "driver = \"postgres\"\ndsn = \""+database.DSN()+"\"\ntimeout_ms = 1000\n")
	if err != nil {
		return "", err
	}
	if _, err := l.Start("n1", "RELAY_CONFIG="+config, "RELAY_STORE="+store); err != nil {
		return "", err
	}
	if err := lab.AwaitProbe(listen, 10*time.Second); err != nil {
		return "", err
	}

	// Ordinary work first: reads, and intakes one after another.
	var calm sync.WaitGroup
	for i := range 6 {
		client(l, &calm, listen, "lot-intake", fmt.Sprintf("calm lot %d", i), true)
		client(l, &calm, listen, "block-view", fmt.Sprintf("calm block %d", i), true)
		calm.Wait()
	}
	if l.Trouble {
		l.Note("store: slows down %d times", slowdown)
		database.SlowDown(slowdown)
	}
	var noon sync.WaitGroup
	for i := range int(rush / spacing) {
		client(l, &noon, listen, "lot-intake", fmt.Sprintf("noon lot %d", i), i%2 == 1)
		time.Sleep(spacing)
	}
	if l.Trouble {
		l.Note("store: as fast as before")
		database.SlowDown(1)
	}
	noon.Wait()
	l.Note("all clients of the rush have their answers")
	time.Sleep(quiet)

	// Long after the rush: reads, which don't touch the store, on an idle worker pool.
	served := 0
	for i := range 20 {
		reply, err := send(l, listen, "block-view", "", fmt.Sprintf("later block %d", i), false)
		if err != nil {
			return "", err
		}
		if reply.Kind == "served" {
			served++
		}
		time.Sleep(500 * time.Millisecond)
	}
	l.Note("reads after the rush: %d of 20 served", served)
	if served == 0 {
		return "the log server runs nothing any more, long after the store has recovered", nil
	}
	return "", nil
}

// send sends one try on a connection of its own and returns its answer.
func send(l *lab.Lab, listen, class, once, body string, further bool) (lab.Reply, error) {
	conn, err := lab.Dial(listen)
	if err != nil {
		return lab.Reply{}, err
	}
	defer conn.Close()
	fields := lab.Fields(class, once, further)
	l.Note("%s of %s: sent, id %s", body, class, fields["id"])
	reply := <-conn.Send(fields, body).Answer
	l.Note("%s of %s: %s", body, class, reply)
	return reply, nil
}

// client sends a request, and up to twice more when it is refused: each time when the log server's advice has passed, or
// after a time of its own if it does not heed advice.
func client(l *lab.Lab, group *sync.WaitGroup, listen, class, body string, heeds bool) {
	group.Add(1)
	go func() {
		defer group.Done()
		once := ""
		if class == "lot-intake" {
			once = lab.NewKey()
		}
		for try := range 3 {
			reply, err := send(l, listen, class, once, body, try > 0)
			if err != nil || reply.Kind != "refused" {
				return
			}
			pause := own
			if heeds {
				after, _ := strconv.Atoi(reply.Fields["after"])
				pause = time.Duration(after) * time.Millisecond
			}
			time.Sleep(pause)
		}
	}()
}
