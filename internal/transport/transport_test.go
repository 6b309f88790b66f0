package transport

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// What a session leaves in its buffer stays there, compacted, until it is whole.
func TestCompact(t *testing.T) {
	c := &Connection{buf: []byte("abcdef")}
	c.compact(2)
	require.Equal(t, "cdef", string(c.buf))
	c.compact(4)
	require.Empty(t, c.buf)
	c.buf = make([]byte, keepBuffer+1)
	c.compact(len(c.buf))
	require.Nil(t, c.buf)
}
