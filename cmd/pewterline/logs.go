package main

import (
	"fmt"
	"io"
	"os"
	"regexp"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/time/rate"
)

// The forms of log lines that RELAY_LOG names.
const (
	logFormText    = ""
	logFormConsole = "console"
	logFormJSON    = "json"
)

// textTimeLayout is the time of a line in the text form.
const textTimeLayout = "15:04:05.000000"

const (
	linesPerSecond = 2  // of one kind, in the long run
	linesAtOnce    = 20 // of one kind, before that binds
)

// logs write the process's log lines. They may be used from any goroutine.
type logs struct {
	logger  *zap.Logger // for lines that a callers' peer cannot have written
	limited *zap.Logger // each kind of line at a bounded rate
	limiter *logLimiter
	// named says that the lines of other packages, whose first word tells the part of the program, have it as a field.
	named bool
}

// newLogs returns logs that write to out in a form: text has the time of day and the level, the others the time in full
// and the process as well.
func newLogs(form string, out io.Writer) (*logs, error) {
	var encoder zapcore.Encoder
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	switch form {
	case logFormText:
		cfg.EncodeTime = zapcore.TimeEncoderOfLayout(textTimeLayout)
		cfg.EncodeLevel = zapcore.CapitalLevelEncoder
		cfg.ConsoleSeparator = " "
		encoder = zapcore.NewConsoleEncoder(cfg)
	case logFormJSON:
		encoder = zapcore.NewJSONEncoder(cfg)
	case logFormConsole:
		encoder = zapcore.NewConsoleEncoder(cfg)
	default:
		return nil, fmt.Errorf("log: RELAY_LOG: %q is neither json nor console", form)
	}
	logger := zap.New(zapcore.NewCore(encoder, zapcore.Lock(zapcore.AddSync(out)), zap.InfoLevel))
	if form != logFormText {
		logger = logger.With(zap.Int("pid", os.Getpid()))
	}
	limiter := newLogLimiter()
	limited := logger.WithOptions(zap.WrapCore(func(core zapcore.Core) zapcore.Core {
		return limitedCore{Core: core, limiter: limiter}
	}))
	return &logs{logger: logger, limited: limited, limiter: limiter, named: form != logFormText}, nil
}

// Logf writes a line of another package, each kind of them at a bounded rate: callers that would have a line written
// for each of their messages must not take the time that proxies need. What was left out is counted in the next line
// of its kind. A format such as "part: message: key=%v other_key=%d" is a constant message with fields; a line with an
// error among them is a warning.
func (l *logs) Logf(format string, args ...any) {
	omitted, allowed := l.limiter.allow(format)
	if !allowed {
		return
	}
	message, fields := formatLine(format, args)
	if l.named {
		var part string
		part, message = splitPart(message)
		fields = append(fields, zap.String("part", part))
	}
	if omitted > 0 {
		fields = append(fields, zap.Int("omitted", omitted))
	}
	l.logger.Log(levelOf(fields), message, fields...)
}

// levelOf is warn for a line that names an error, and info for any other.
func levelOf(fields []zap.Field) zapcore.Level {
	for _, field := range fields {
		if field.Type == zapcore.ErrorType {
			return zapcore.WarnLevel
		}
	}
	return zapcore.InfoLevel
}

// fieldsFormat matches a format with a constant message and fields behind it.
var fieldsFormat = regexp.MustCompile(`^([^%]+): (\w+=%[a-z](?: \w+=%[a-z])*)$`)

// formatLine returns the message of a line, and its fields if the format has any.
func formatLine(format string, args []any) (message string, fields []zap.Field) {
	match := fieldsFormat.FindStringSubmatch(format)
	if match == nil {
		return fmt.Sprintf(format, args...), nil
	}
	names := strings.Fields(match[2])
	if len(names) != len(args) {
		return fmt.Sprintf(format, args...), nil
	}
	for i, field := range names {
		name, verb, _ := strings.Cut(field, "=")
		fields = append(fields, lineField(name, verb, args[i]))
	}
	return match[1], fields
}

// lineField returns a field with a value of its own type if a log line has one for it, else as the verb formats it.
func lineField(name, verb string, value any) zap.Field {
	if verb == "%x" {
		return zap.String(name, fmt.Sprintf(verb, value))
	}
	switch value := value.(type) {
	case bool, string, int, int32, int64, uint32, uint64, float64, time.Duration, error:
		return zap.Any(name, value)
	default:
		return zap.String(name, fmt.Sprint(value))
	}
}

// splitPart cuts the part of the program off that a line begins with.
func splitPart(message string) (part, rest string) {
	part, rest, ok := strings.Cut(message, ": ")
	if !ok || strings.Contains(part, " ") {
		return "main", message
	}
	return part, rest
}

// logLimiter bounds the rate of log lines of each kind.
type logLimiter struct {
	now   func() time.Time
	mu    sync.Mutex
	kinds map[string]*lineKind // by format or message, of which the program has a fixed number
}

type lineKind struct {
	limit   *rate.Limiter
	omitted int // lines since the last that was allowed
}

func newLogLimiter() *logLimiter {
	return &logLimiter{now: time.Now, kinds: map[string]*lineKind{}}
}

// allow says whether a line of that kind may be written, and how many were left out since the last one.
func (l *logLimiter) allow(kind string) (omitted int, allowed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.kinds[kind]
	if known == nil {
		known = &lineKind{limit: rate.NewLimiter(linesPerSecond, linesAtOnce)}
		l.kinds[kind] = known
	}
	if !known.limit.AllowN(l.now(), 1) {
		known.omitted++
		return 0, false
	}
	omitted, known.omitted = known.omitted, 0
	return omitted, true
}

// limitedCore writes the lines of each message at a bounded rate.
type limitedCore struct {
	zapcore.Core
	limiter *logLimiter
}

// With is part of zapcore.Core.
func (c limitedCore) With(fields []zapcore.Field) zapcore.Core {
	return limitedCore{Core: c.Core.With(fields), limiter: c.limiter}
}

// Check is part of zapcore.Core.
func (c limitedCore) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(entry.Level) {
		return checked.AddCore(entry, c)
	}
	return checked
}

// Write is part of zapcore.Core.
func (c limitedCore) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	omitted, allowed := c.limiter.allow(entry.Message)
	if !allowed {
		return nil
	}
	if omitted > 0 {
		fields = append(fields[:len(fields):len(fields)], zap.Int("omitted", omitted))
	}
	return c.Core.Write(entry, fields)
}
