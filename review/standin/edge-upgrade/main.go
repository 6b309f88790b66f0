// Command edge-upgrade plays case 2: an edge is upgraded while it knows which log server has run which intake.
package main

import (
	"fmt"
	"sync"
	"time"

	"review/lab"
)

const (
	work    = 300 * time.Millisecond
	intakes = 8
)

func main() { lab.Main(play) }

// fleet is two log servers with a worker pool each.
type fleet struct {
	*lab.Lab
	mu   sync.Mutex
	runs map[string][]string // by body: the log servers that ran it, in this order
}

func (f *fleet) started(name string, run lab.Run) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs[run.Body] = append(f.runs[run.Body], name)
	f.Note("pool of %s: run %s of %s begins, body %q", name, run.ID, run.Class, run.Body)
}

// fails reports whether a run ends with FAIL: the first run of each intake whose body begins with X does.
func (f *fleet) fails(run lab.Run) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return run.Body[0] == 'X' && len(f.runs[run.Body]) == 1
}

// start starts a log server and returns its address.
func (f *fleet) start(name string) (*lab.Pool, string, error) {
	pool, err := lab.StartPool(&lab.Pool{
		Cores:   4,
		Work:    func(lab.Run) time.Duration { return work },
		Fails:   f.fails,
		Started: func(run lab.Run) { f.started(name, run) },
		Finished: func(run lab.Run, end string) {
			f.Note("pool of %s: run %s ends with %s", name, run.ID, end)
		},
	})
	if err != nil {
		return nil, "", err
	}
	listen := lab.Port()
	config, err := f.JSON(name+".json", lab.Config(name, listen, pool.Address(), 4))
	if err != nil {
		return nil, "", err
	}
	if _, err = f.Start(name, "RELAY_CONFIG="+config); err != nil {
		return nil, "", err
	}
	return pool, listen, lab.AwaitProbe(listen, 10*time.Second)
}

func play(l *lab.Lab) (string, error) {
	f := &fleet{Lab: l, runs: map[string][]string{}}
	list := ""
	for _, name := range []string{"n1", "n2"} {
		pool, address, err := f.start(name)
		if err != nil {
			return "", err
		}
		defer pool.Close()
		list += fmt.Sprintf("[[server]]\nname = %q\naddress = %q\n\n", name, address)
	}
	servers, err := l.File("fleet.toml", list)
	if err != nil {
		return "", err
	}
	listen := lab.Port()
	settings := lab.Config("edge", listen, "", 8)
	delete(settings, "pool")
	config, err := l.JSON("edge.json", settings)
	if err != nil {
		return "", err
	}
	environment := []string{"RELAY_CONFIG=" + config, "RELAY_FLEET=" + servers}
	edge, err := l.Start("edge", append(environment, "RELAY_ADMIN="+lab.Port())...)
	if err != nil {
		return "", err
	}
	if err := lab.AwaitProbe(listen, 10*time.Second); err != nil {
		return "", err
	}

	// Most intakes run and pass. Some run and fail, as runs do at times; their crews send them again later.
	keys := map[string]string{}
	for i := range intakes {
		for _, kind := range []string{"X", "P"} {
			body := fmt.Sprintf("%s lot %d", kind, i)
			keys[body] = lab.NewKey()
			if err := send(l, listen, keys[body], body, false); err != nil {
				return "", err
			}
		}
	}
	if l.Trouble {
		if _, err := l.Upgrade(edge, "edge-new", lab.Port(), environment...); err != nil {
			return "", err
		}
	}
	for i := range intakes {
		for _, kind := range []string{"X", "P"} {
			body := fmt.Sprintf("%s lot %d", kind, i)
			if err := send(l, listen, keys[body], body, true); err != nil {
				return "", err
			}
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	twice, example := 0, ""
	for body, servers := range f.runs {
		if len(servers) > 1 {
			twice++
			example = fmt.Sprintf("%q ran at %v", body, servers)
		}
	}
	if twice > 0 {
		return fmt.Sprintf("%d of %d intakes ran twice within their window, such as %s", twice, len(f.runs), example), nil
	}
	return "", nil
}

func send(l *lab.Lab, listen, once, body string, further bool) error {
	conn, err := lab.Dial(listen)
	if err != nil {
		return err
	}
	defer conn.Close()
	fields := lab.Fields("lot-intake", once, further)
	l.Note("crew: sent %q, id %s once %s at %s", body, fields["id"], once, fields["at"])
	l.Note("crew: %q: %s", body, <-conn.Send(fields, body).Answer)
	return nil
}
