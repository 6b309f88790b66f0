package main

import (
	"fmt"
	"io"
	"log"
	"os"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/time/rate"
)

// logAs has lines written in the form that RELAY_LOG names: "" for a time and a text, "console" and "json" for zap's forms, with the
// time in full, the part of the program that speaks, the process and the text.
func logAs(form string, out io.Writer) error {
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	var enc zapcore.Encoder
	switch form {
	case "":
		log.SetFlags(log.Ltime | log.Lmicroseconds)
		return nil
	case "json":
		enc = zapcore.NewJSONEncoder(cfg)
	case "console":
		enc = zapcore.NewConsoleEncoder(cfg)
	default:
		return fmt.Errorf("log: RELAY_LOG: %q is neither json nor console", form)
	}
	log.SetFlags(0)
	log.SetOutput(lines{zap.New(zapcore.NewCore(enc, zapcore.Lock(zapcore.AddSync(out)), zap.InfoLevel)).With(zap.Int("pid", os.Getpid()))})
	return nil
}

// lines takes what the log package writes, a line at a time.
type lines struct{ to *zap.Logger }

// Write is part of io.Writer.
func (l lines) Write(p []byte) (int, error) {
	text := strings.TrimSuffix(string(p), "\n")
	part, rest, ok := strings.Cut(text, ": ")
	if !ok || strings.Contains(part, " ") {
		part, rest = "main", text
	}
	l.to.Info(rest, zap.String("part", part))
	return len(p), nil
}

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
