package main

import (
	"errors"
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

// The forms of log lines, as values of RELAY_LOG.
const (
	logFormText    = ""
	logFormConsole = "console"
	logFormJSON    = "json"
)

var errUnknownLogForm = errors.New("is neither json nor console")

// textTimeLayout is the format of times in the text form.
const textTimeLayout = "15:04:05.000000"

const (
	linesPerSecond = 2  // the long-term rate of lines of one kind
	linesAtOnce    = 20 // the burst of lines of one kind
)

// logs write the process's log lines. They may be used from any goroutine.
type logs struct {
	logger  *zap.Logger // for lines that untrusted peers cannot cause
	limited *zap.Logger // for all other lines; limits the rate of each kind
	limiter *logLimiter
	// partAsField moves the prefix of other packages' lines, which names a part of the program, into a field.
	partAsField bool
}

// newLogs returns logs that write to out. Lines of the text form have the time of day and the level; those of the
// others have the full time and the process ID as well.
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
		return nil, fmt.Errorf("log: RELAY_LOG: %q %w", form, errUnknownLogForm)
	}
	logger := zap.New(zapcore.NewCore(encoder, zapcore.Lock(zapcore.AddSync(out)), zap.InfoLevel))
	if form != logFormText {
		logger = logger.With(zap.Int("pid", os.Getpid()))
	}
	limiter := newLogLimiter()
	limited := logger.WithOptions(zap.WrapCore(func(core zapcore.Core) zapcore.Core {
		return limitedCore{Core: core, limiter: limiter}
	}))
	return &logs{logger: logger, limited: limited, limiter: limiter, partAsField: form != logFormText}, nil
}

// Logf writes a line of another package, and limits the rate of each kind of line: otherwise peers that cause a line
// with each message would cost the server time that it needs for proxies. The next line of a kind that is written has
// the number of omitted ones. A format such as "part: message: key=%v other_key=%d" is a constant message with fields.
// A line with an error among its fields is a warning.
func (l *logs) Logf(format string, args ...any) {
	omitted, allowed := l.limiter.allow(format)
	if !allowed {
		return
	}
	message, fields := formatLine(format, args)
	if l.partAsField {
		var part string
		part, message = splitPart(message)
		fields = append(fields, zap.String("part", part))
	}
	if omitted > 0 {
		fields = append(fields, zap.Int("omitted", omitted))
	}
	l.logger.Log(levelOf(fields), message, fields...)
}

// levelOf returns warn for a line with an error among its fields, and info for any other.
func levelOf(fields []zap.Field) zapcore.Level {
	for _, field := range fields {
		if field.Type == zapcore.ErrorType {
			return zapcore.WarnLevel
		}
	}
	return zapcore.InfoLevel
}

// fieldsFormat matches a format that is a constant message followed by fields.
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

// lineField returns a field with the value in its own type if that is one of the cases below, and as text otherwise.
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

// splitPart splits a line into its prefix, which names a part of the program, and the rest.
func splitPart(message string) (part, rest string) {
	part, rest, ok := strings.Cut(message, ": ")
	if !ok || strings.Contains(part, " ") {
		return "main", message
	}
	return part, rest
}

// logLimiter limits the rate of log lines of each kind.
type logLimiter struct {
	now   func() time.Time
	mu    sync.Mutex
	kinds map[string]*lineKind // by format or message; the program has a fixed number of these
}

type lineKind struct {
	limit   *rate.Limiter
	omitted int // lines since the last allowed one
}

func newLogLimiter() *logLimiter {
	return &logLimiter{now: time.Now, kinds: map[string]*lineKind{}}
}

// allow reports whether a line of a kind may be written, and how many were omitted since the last one.
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

// limitedCore limits the rate of lines with the same message.
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
