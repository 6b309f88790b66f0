package workerpool

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Acknowledging a command also acknowledges all commands before it on the same connection, but none on another
// connection.
func TestAcknowledgements(t *testing.T) {
	acks := acknowledgements{received: map[int]int{}}
	require.False(t, acks.includes(position{}), "a command that was not sent")
	acks.acknowledge(position{connection: 1, order: 5})
	acks.acknowledge(position{connection: 1, order: 3})
	require.True(t, acks.includes(position{connection: 1, order: 5}))
	require.True(t, acks.includes(position{connection: 1, order: 1}))
	require.False(t, acks.includes(position{connection: 1, order: 6}))
	require.False(t, acks.includes(position{connection: 2, order: 1}))
	require.False(t, acks.includes(position{order: 1}))

	acks.keepOnly(2)
	require.False(t, acks.includes(position{connection: 1, order: 1}))
}

// The answer to a poll acknowledges all commands that were sent before the poll. Polls are answered in order.
func TestAcknowledgementByPoll(t *testing.T) {
	acks := acknowledgements{received: map[int]int{}}
	acks.pollAnswered(1)
	require.False(t, acks.includes(position{connection: 1, order: 1}), "an answer without a poll")
	acks.pollSent(2)
	acks.pollSent(4)
	acks.pollAnswered(1)
	require.True(t, acks.includes(position{connection: 1, order: 2}))
	require.False(t, acks.includes(position{connection: 1, order: 3}))
	acks.connectionChanged()
	acks.pollAnswered(2)
	require.False(t, acks.includes(position{connection: 2, order: 4}), "the poll was lost with its connection")
}
