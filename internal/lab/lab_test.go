package lab

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/faults"
	"pewterline/internal/micro"
)

func TestCalmSmoke(t *testing.T) {
	s := faults.Script{Seed: 1, Servers: 2, Proxies: 2, Offices: 1, Length: 5 * micro.Second, Rate: 30}
	out, err := Play(s, Options{Log: func(l string) { t.Log(l) }})
	require.NoError(t, err)
	t.Logf("%+v", out.Answers)
	t.Log(out.Asked, out.Served, out.Worth, out.Events, out.Turns, out.Simulated.Duration())
	for _, v := range out.Violations {
		t.Error(v)
	}
}
