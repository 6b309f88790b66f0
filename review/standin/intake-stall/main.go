// Command intake-stall plays case 1: the tries of one lot-intake cross a link that stalls and then resumes.
package main

import (
	"fmt"
	"sync"
	"time"

	"review/lab"
)

const (
	cores  = 2
	work   = 300 * time.Millisecond
	gap    = 250 * time.Millisecond // between the tries
	moment = 60 * time.Millisecond
)

// desk records the runs of each body, which is different for each request.
type desk struct {
	*lab.Lab
	mu   sync.Mutex
	runs map[string][]string
}

func (d *desk) started(run lab.Run) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.runs[run.Body] = append(d.runs[run.Body], run.ID)
	d.Note("pool: run %s of %s begins, body %q", run.ID, run.Class, run.Body)
}

func main() { lab.Main(play) }

func play(l *lab.Lab) (string, error) {
	d := &desk{Lab: l, runs: map[string][]string{}}
	pool, err := lab.StartPool(&lab.Pool{Cores: cores, Work: func(lab.Run) time.Duration { return work }, Started: d.started})
	if err != nil {
		return "", err
	}
	defer pool.Close()
	listen := lab.Port()
	config, err := l.JSON("config.json", lab.Config("n1", listen, pool.Address(), cores))
	if err != nil {
		return "", err
	}
	if _, err := l.Start("n1", "RELAY_CONFIG="+config); err != nil {
		return "", err
	}
	if err := lab.AwaitProbe(listen, 10*time.Second); err != nil {
		return "", err
	}
	desks, err := lab.Dial(listen) // the proxy of the other desks, which is not disturbed
	if err != nil {
		return "", err
	}
	link, err := lab.StartLink(listen)
	if err != nil {
		return "", err
	}
	// Ordinary intakes, one after another, until the log server knows how long they take.
	var others sync.WaitGroup
	for i := range 8 {
		d.send(&others, desks, "other desk", lab.NewKey(), fmt.Sprintf("other lot %d", i), false)
		others.Wait()
	}
	tablet, err := lab.Dial(link.Address()) // the proxy of the tablet, behind the link
	if err != nil {
		return "", err
	}
	l.Note("the tablet's view: %s", <-tablet.Send(lab.Fields("block-view", "", false), "a block").Answer)

	// The tablet's intake comes three times, as nobody hears an answer. The last try is given up; that the callers of the
	// other two have gone too, the log server is not told.
	if l.Trouble {
		l.Note("link: stalls")
		link.Stall(true)
	}
	once, body := lab.NewKey(), "the tablet's lot"
	var tries sync.WaitGroup
	d.send(&tries, tablet, "first try", once, body, false)
	time.Sleep(gap)
	d.send(&tries, tablet, "second try", once, body, true)
	time.Sleep(gap)
	last := d.try(tablet, "third try", once, body, true)
	time.Sleep(gap)
	for i := range cores {
		d.send(&others, desks, "other desk", lab.NewKey(), fmt.Sprintf("busy lot %d", i), false)
	}
	time.Sleep(moment)
	if l.Trouble {
		l.Note("link: resumes")
		link.Stall(false)
	}
	time.Sleep(moment)
	l.Note("third try: given up")
	last.GiveUp()
	tries.Wait()
	others.Wait()
	time.Sleep(time.Second)

	// The crew sends the intake again, within its window.
	d.send(&tries, desks, "fourth try", once, body, true)
	tries.Wait()
	time.Sleep(time.Second)

	d.mu.Lock()
	defer d.mu.Unlock()
	for body, ids := range d.runs {
		if len(ids) > 1 {
			return fmt.Sprintf("%q ran %d times on one log server within its window: %v", body, len(ids), ids), nil
		}
	}
	return "", nil
}

// try sends a try of an intake.
func (d *desk) try(conn *lab.Conn, name, once, body string, further bool) lab.Call {
	fields := lab.Fields("lot-intake", once, further)
	d.Note("%s: id %s at %s of %q sent", name, fields["id"], fields["at"], body)
	return conn.Send(fields, body)
}

// send sends a try of an intake and waits for its answer in the background.
func (d *desk) send(group *sync.WaitGroup, conn *lab.Conn, name, once, body string, further bool) {
	group.Add(1)
	call := d.try(conn, name, once, body, further)
	go func() {
		defer group.Done()
		d.Note("%s: %s", name, <-call.Answer)
	}()
}
