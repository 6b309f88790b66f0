package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// A peer that causes a log line with each message that it sends must not slow the server down. The rate of each kind of
// log line is limited separately, and the next line of a kind that is written reports how many were omitted.
func TestLineRateIsLimited(t *testing.T) {
	now := time.Unix(100, 0)
	var out bytes.Buffer
	logs, err := newLogs(logFormText, &out)
	require.NoError(t, err)
	logs.limiter.now = func() time.Time { return now }
	lines := func() []string { return strings.Split(strings.TrimSuffix(out.String(), "\n"), "\n") }
	last := func() string {
		all := lines()
		_, text, _ := strings.Cut(all[len(all)-1], " INFO ")
		return text
	}
	for i := range 1000 {
		logs.Logf("bad %d", i)
	}
	require.Len(t, lines(), linesAtOnce)
	logs.Logf("pool: link lost")
	require.Equal(t, "pool: link lost", last())
	now = now.Add(time.Second)
	logs.Logf("bad %d", 1000)
	require.Equal(t, `bad 1000 {"omitted": 980}`, last())
	logs.Logf("bad %d", 1001)
	require.Equal(t, "bad 1001", last())
	require.Len(t, lines(), linesAtOnce+3)
}

// The logger for lines that untrusted peers can cause, logs.limited, limits the rate of each message. The logger for
// all other lines of this package, logs.logger, omits none.
func TestLimitedLoggerLimitsEachMessage(t *testing.T) {
	now := time.Unix(100, 0)
	var out bytes.Buffer
	logs, err := newLogs(logFormJSON, &out)
	require.NoError(t, err)
	logs.limiter.now = func() time.Time { return now }
	count := func(text string) int { return strings.Count(out.String(), text) }
	for i := range 50 {
		logs.limited.Warn("bad", zap.Int("i", i))
		logs.logger.Warn("good", zap.Int("i", i))
	}
	logs.limited.With(zap.Int("other", 1)).Warn("also bad")
	require.Equal(t, linesAtOnce, count(`"msg":"bad"`))
	require.Equal(t, 50, count(`"msg":"good"`))
	require.Equal(t, 1, count(`"msg":"also bad"`))
	now = now.Add(time.Second)
	logs.limited.Warn("bad", zap.Int("i", 50))
	require.Equal(t, 1, count(`"omitted":30`))
}

// A line in JSON has the full time, the process ID, and the part of the program that logged it. A prefix that contains
// a space, such as "n1 serves on here", does not name a part. An unknown form of log lines in RELAY_LOG is an error.
func TestLinesInJSON(t *testing.T) {
	var out bytes.Buffer
	logs, err := newLogs(logFormJSON, &out)
	require.NoError(t, err)
	logs.Logf("replication: server %d can be reached: %v", 2, true)
	logs.Logf("n1 serves on %s", "here: now")
	logs.logger.Info("serving", zap.String("server", "n1"))
	var got [3]struct {
		Part, Msg, Ts, Level, Server string
		PID                          int
	}
	decoder := json.NewDecoder(&out)
	for i := range got {
		require.NoError(t, decoder.Decode(&got[i]))
		_, err := time.Parse(time.RFC3339Nano, got[i].Ts)
		require.NoError(t, err)
		require.Positive(t, got[i].PID)
		require.Equal(t, "info", got[i].Level)
	}
	require.Equal(t, "replication", got[0].Part)
	require.Equal(t, "server 2 can be reached: true", got[0].Msg)
	require.Equal(t, "main", got[1].Part)
	require.Equal(t, "serving", got[2].Msg)
	require.Equal(t, "n1", got[2].Server)
	_, err = newLogs("xml", &out)
	require.ErrorContains(t, err, "RELAY_LOG")
}

// Logf, by which other packages log, splits a format such as "message: peer=%s status=%d" into the message and its
// fields. A line of any other format is logged as a message without fields.
func TestLogfSplitsFormatIntoFields(t *testing.T) {
	for _, tc := range []struct {
		name   string
		format string
		args   []any
		want   string
	}{
		{"fields", "ajp: request rejected: peer=%s status=%d error=%v",
			[]any{"127.0.0.1:1", 400, fmt.Errorf("rank: %q", "x")},
			`WARN ajp: request rejected {"peer": "127.0.0.1:1", "status": 400, "error": "rank: \"x\""}`},
		{"one field", "ajp: shutdown ignored: peer=%s", []any{"p"}, `INFO ajp: shutdown ignored {"peer": "p"}`},
		{"text", "pool: connection lost, %d runs in flight", []any{2}, "INFO pool: connection lost, 2 runs in flight"},
		{"text before a field", "pool: %s: n=%d", []any{"a", 2}, "INFO pool: a: n=2"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var out bytes.Buffer
			logs, err := newLogs(logFormText, &out)
			require.NoError(t, err)
			logs.Logf(tc.format, tc.args...)
			_, text, _ := strings.Cut(strings.TrimSuffix(out.String(), "\n"), " ")
			require.Equal(t, tc.want, text)
		})
	}
}

// A line of text has the time of day, the level, the message and the fields.
func TestLinesOfText(t *testing.T) {
	var out bytes.Buffer
	logs, err := newLogs(logFormText, &out)
	require.NoError(t, err)
	logs.logger.Error("reload rejected", zap.Error(fmt.Errorf("config: pool: missing")))
	logs.Logf("pool: link lost")
	require.Regexp(t, `^\d\d:\d\d:\d\d\.\d{6} ERROR reload rejected \{"error": "config: pool: missing"\}\n`+
		`\d\d:\d\d:\d\d\.\d{6} INFO pool: link lost\n$`, out.String())
}
