package vault

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// recorded returns a stream of the simulated network, as the program wrote or read it before its parsers were renamed.
func recorded(t *testing.T, name string) []byte {
	t.Helper()
	stream, err := os.ReadFile(filepath.Join("testdata", "recorded", name))
	require.NoError(t, err)
	return stream
}

// The bytes of recorded commands are written again as they were.
func TestRecordedCommands(t *testing.T) {
	stream := recorded(t, "commands.txt")
	var again []byte
	seen := map[Verb]int{}
	for _, command := range readInPieces(t, stream, ParseCommand) {
		seen[command.Verb]++
		if command.Verb == Ask {
			again = AppendAsk(again, command.ID, command.WaitMS, command.Body)
		} else {
			again = AppendUnask(again, command.ID)
		}
	}
	require.Equal(t, string(stream), string(again))
	require.NotZero(t, seen[Ask])
	require.NotZero(t, seen[Unask])
}

// The bytes of recorded replies are written again as they were.
func TestRecordedReplies(t *testing.T) {
	stream := recorded(t, "replies.txt")
	var again []byte
	for _, reply := range readInPieces(t, stream, ParseReply) {
		require.Equal(t, Yes, reply.Status)
		again = AppendReply(again, reply.ID, reply.Status, reply.Body)
	}
	require.Equal(t, string(stream), string(again))
}
