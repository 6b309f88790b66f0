package main

import (
	"log"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	linesASecond = 2  // of one kind, in the long run
	linesAtOnce  = 20 // of one kind, before that binds
)

// capped writes log lines, each kind of them at a bounded rate. Guards the core that proxies need against callers
// that would have a line written for each of their messages. What was left out is counted in the next line of its
// kind. It may be used from any goroutine.
type capped struct {
	write func(format string, args ...any)
	now   func() time.Time
	mu    sync.Mutex
	kinds map[string]*kind // by format, of which the program has a fixed number
}

type kind struct {
	limit   *rate.Limiter
	omitted int
}

func newCapped() *capped {
	return &capped{write: log.Printf, now: time.Now, kinds: map[string]*kind{}}
}

func (c *capped) Logf(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.kinds[format]
	if k == nil {
		k = &kind{limit: rate.NewLimiter(linesASecond, linesAtOnce)}
		c.kinds[format] = k
	}
	if !k.limit.AllowN(c.now(), 1) {
		k.omitted++
		return
	}
	if k.omitted > 0 {
		format, args = format+" (%d more like it were left out)", append(args[:len(args):len(args)], k.omitted)
		k.omitted = 0
	}
	c.write(format, args...)
}
