package transport

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// What a session leaves in its buffer stays there, at the front, until the message is complete.
func TestConsume(t *testing.T) {
	c := &Connection{received: []byte("abcdef")}
	c.consume(2)
	require.Equal(t, "cdef", string(c.received))
	c.consume(4)
	require.Empty(t, c.received)
	c.received = make([]byte, retainedCapacity+1)
	c.consume(len(c.received))
	require.Nil(t, c.received)
}
