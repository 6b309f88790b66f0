package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards the core against abuse that would have a line written for each message: a kind of line is capped, the
// next one tells how many were left out, and other kinds are not held back.
func TestLinesAreCapped(t *testing.T) {
	now := time.Unix(100, 0)
	var lines []string
	c := newCapped()
	c.now = func() time.Time { return now }
	c.write = func(format string, args ...any) { lines = append(lines, fmt.Sprintf(format, args...)) }
	for i := range 1000 {
		c.Logf("bad %d", i)
	}
	require.Len(t, lines, linesAtOnce)
	c.Logf("pool: link lost")
	require.Equal(t, "pool: link lost", lines[linesAtOnce])
	now = now.Add(time.Second)
	c.Logf("bad %d", 1000)
	require.Equal(t, "bad 1000 (980 more like it were left out)", lines[linesAtOnce+1])
	c.Logf("bad %d", 1001)
	require.Equal(t, "bad 1001", lines[linesAtOnce+2])
}

// A line in JSON names its time in full, the part that speaks and the process; a form that there is none of is an error.
func TestLinesInJSON(t *testing.T) {
	flags, out := log.Flags(), log.Writer()
	defer func() { log.SetFlags(flags); log.SetOutput(out) }()
	var b bytes.Buffer
	require.NoError(t, logAs("json", &b))
	newCapped().Logf("holdings: server %d can be reached: %v", 2, true)
	log.Printf("n1 serves on %s", "here: now")
	var got [2]struct {
		Part, Msg, Ts string
		PID           int
	}
	dec := json.NewDecoder(&b)
	for i := range got {
		require.NoError(t, dec.Decode(&got[i]))
		_, err := time.Parse(time.RFC3339Nano, got[i].Ts)
		require.NoError(t, err)
		require.Positive(t, got[i].PID)
	}
	require.Equal(t, "holdings", got[0].Part)
	require.Equal(t, "server 2 can be reached: true", got[0].Msg)
	require.Equal(t, "main", got[1].Part)
	require.ErrorContains(t, logAs("xml", &b), "RELAY_LOG")
}
