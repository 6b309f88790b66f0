package vault

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// recorded returns a stream that an earlier version of the program wrote or read on the simulated network. The tests
// compare with it to detect changes of the wire format.
func recorded(t *testing.T, name string) []byte {
	t.Helper()
	stream, err := os.ReadFile(filepath.Join("testdata", "recorded", name))
	require.NoError(t, err)
	return stream
}

// Recorded commands are encoded to the same bytes after decoding.
func TestRecordedCommands(t *testing.T) {
	stream := recorded(t, "commands.txt")
	var encoded []byte
	seen := map[Verb]int{}
	for _, command := range readInPieces(t, stream, ParseCommand) {
		seen[command.Verb]++
		if command.Verb == Ask {
			encoded = AppendAsk(encoded, command.ID, command.WaitMS, command.Body)
		} else {
			encoded = AppendUnask(encoded, command.ID)
		}
	}
	require.Equal(t, string(stream), string(encoded))
	require.NotZero(t, seen[Ask])
	require.NotZero(t, seen[Unask])
}

// Recorded replies are encoded to the same bytes after decoding.
func TestRecordedReplies(t *testing.T) {
	stream := recorded(t, "replies.txt")
	var encoded []byte
	for _, reply := range readInPieces(t, stream, ParseReply) {
		require.Equal(t, Yes, reply.Status)
		encoded = AppendReply(encoded, reply.ID, reply.Status, reply.Body)
	}
	require.Equal(t, string(stream), string(encoded))
}
