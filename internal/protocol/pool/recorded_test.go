package pool

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "rewrite the golden file of the recorded messages")

// recorded returns a stream that an earlier version of the program wrote or read on the simulated network. The tests
// compare with it to detect changes of the wire format.
func recorded(t *testing.T, name string) []byte {
	t.Helper()
	stream, err := os.ReadFile(filepath.Join("testdata", "recorded", name))
	require.NoError(t, err)
	return stream
}

// appendCommand encodes a command with the same function as the log server.
func appendCommand(t *testing.T, out []byte, command Command) []byte {
	t.Helper()
	switch command.Verb {
	case Bind:
		return AppendBind(out, command.Notice)
	case Spawn:
		return AppendSpawn(out, command.ID, command.Class, command.Body)
	case Suspend:
		return AppendSuspend(out, command.ID)
	case Poll:
		return AppendPoll(out, command.Tag)
	case Supply:
		return AppendSupply(out, command.ID, command.Body)
	case Verify:
		return AppendVerify(out, command.Tag)
	}
	t.Fatalf("unknown command: %v", command)
	return nil
}

// Recorded commands are encoded to the same bytes after decoding.
func TestRecordedCommands(t *testing.T) {
	stream := recorded(t, "commands.txt")
	var encoded []byte
	seen := map[Verb]int{}
	for _, command := range readInPieces(t, stream, ParseCommand) {
		encoded = appendCommand(t, encoded, command)
		seen[command.Verb]++
	}
	require.Equal(t, string(stream), string(encoded))
	for _, verb := range []Verb{Bind, Spawn, Poll, Supply} {
		require.NotZero(t, seen[verb], verb)
	}
}

// Recorded messages decode to the values in the golden file.
func TestRecordedMessages(t *testing.T) {
	var decoded strings.Builder
	for _, m := range readInPieces(t, recorded(t, "messages.txt"), ParseMessage) {
		fmt.Fprintf(&decoded, "%s loaded=%t ms=%v notice=%d id=%s ",
			m.Kind, m.Loaded, m.Milliseconds, m.Notice, m.ID)
		fmt.Fprintf(&decoded, "outcome=%s result=%q call=%q tag=%s gauges=%v command=%s\n",
			m.Outcome, m.Result, m.Call, m.Tag, m.Gauges, m.Command)
	}
	golden := filepath.Join("testdata", "recorded", "messages.golden")
	if *update {
		require.NoError(t, os.WriteFile(golden, []byte(decoded.String()), 0o600))
	}
	want, err := os.ReadFile(golden)
	require.NoError(t, err)
	require.Equal(t, string(want), decoded.String())
}

// Each command of the protocol decodes to the expected value and is encoded to the same bytes.
func TestCommandEncoding(t *testing.T) {
	tests := map[string]Command{
		"bind 0\r\n":                   {Verb: Bind},
		"bind 9223372036854775807\r\n": {Verb: Bind, Notice: 1<<63 - 1},
		"spawn 00ff c 6\r\nb\r\nody\r\n": {
			Verb: Spawn, ID: "00ff", Class: "c", Body: []byte("b\r\nody"),
		},
		"spawn 00ff c 0\r\n\r\n": {
			Verb: Spawn, ID: "00ff", Class: "c", Body: []byte{},
		},
		"suspend 00ff\r\n":                {Verb: Suspend, ID: "00ff"},
		"poll g\r\n":                      {Verb: Poll, Tag: "g"},
		"supply 00ff 5\r\nreply\r\n":      {Verb: Supply, ID: "00ff", Body: []byte("reply")},
		"supply 00ff 8\r\npoll g\r\n\r\n": {Verb: Supply, ID: "00ff", Body: []byte("poll g\r\n")},
		"verify check7\r\n":               {Verb: Verify, Tag: "check7"},
	}
	for text, want := range tests {
		got, n, err := ParseCommand([]byte(text))
		require.NoError(t, err, "%q", text)
		require.Equal(t, len(text), n, "%q", text)
		require.Equal(t, want, got, "%q", text)
		require.Equal(t, text, string(appendCommand(t, nil, want)))
	}
}

func TestMessageDecoding(t *testing.T) {
	tests := map[string]Message{
		"bound LOADED 12.5\r\n": {Kind: Bound, Loaded: true, Milliseconds: 12.5},
		"bound EMPTY 0\r\n":     {Kind: Bound},
		"finished 3 00ff KILLED 20 1\r\nx\r\n": {
			Kind: Finished, Notice: 3, ID: "00ff", Outcome: Killed, Milliseconds: 20, Result: []byte("x"),
		},
		"finished 4 00ff NOOP 0 0\r\n\r\n": {Kind: Finished, Notice: 4, ID: "00ff", Outcome: Noop, Result: []byte{}},
		"finished 5 00ff FAIL 1 2\r\n\r\n\r\n": {
			Kind: Finished, Notice: 5, ID: "00ff", Outcome: Fail, Milliseconds: 1, Result: []byte("\r\n"),
		},
		"blocked 7 00ff 3\r\nabc\r\n":     {Kind: Blocked, Notice: 7, ID: "00ff", Call: []byte("abc")},
		"verified check7 PASS\r\n":        {Kind: Verified, Tag: "check7", Outcome: Pass},
		"verified check7 FAIL\r\n":        {Kind: Verified, Tag: "check7", Outcome: Fail},
		"polled g\r\n":                    {Kind: Polled, Tag: "g"},
		"polled g 0.5 NaN -1 0x1p-2\r\n":  {Kind: Polled, Tag: "g", Gauges: []float64{0.5, unknownGauge, -1, 0.25}},
		"unknown spawn 00ff\r\n":          {Kind: Unknown, Command: "spawn", ID: "00ff"},
		"unknown verify\r\n":              {Kind: Unknown, Command: "verify"},
		"unknown poll sync1 and more\r\n": {Kind: Unknown, Command: "poll", ID: "sync1"},
		"chatter\r\n":                     {Kind: Chatter},
		"chatter 3 all is well\r\n":       {Kind: Chatter, Notice: 3},
		"chatter about nothing\r\n":       {Kind: Chatter},
	}
	for text, want := range tests {
		got, n, err := ParseMessage([]byte(text + "bound EMPTY 1\r\n"))
		require.NoError(t, err, "%q", text)
		require.Equal(t, len(text), n, "%q", text)
		require.Equal(t, want, got, "%q", text)
	}
}
