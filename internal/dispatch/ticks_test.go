package dispatch

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/microtime"
)

func TestTickSchedule(t *testing.T) {
	var schedule tickSchedule
	require.Equal(t, microtime.Never, schedule.next())
	schedule.add(30, 3)
	schedule.add(10, 1)
	schedule.add(20, 2)
	require.Equal(t, microtime.Time(10), schedule.next())
	require.Equal(t, []uint64{1, 2}, schedule.takeDue(20), "ticks must be returned in the order of their due times")
	require.Empty(t, schedule.takeDue(29))
	schedule.postponeTo(40)
	require.Equal(t, microtime.Time(40), schedule.next())
	require.Equal(t, []uint64{3}, schedule.takeDue(40))
}
