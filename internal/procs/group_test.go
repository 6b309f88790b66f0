package procs

import (
	"encoding/json"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pewterline/internal/protocol/thrift"
)

func settings(t *testing.T) json.RawMessage {
	text, err := os.ReadFile("../../internal/config/testdata/config.json")
	require.NoError(t, err)
	var file struct{ Settings json.RawMessage }
	require.NoError(t, json.Unmarshal(text, &file))
	return file.Settings
}

var faulty = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "pwbin")
	if err != nil {
		return "", err
	}
	return Build("../..", dir, "diskfaults")
})

func TestMain(m *testing.M) {
	code := m.Run()
	if path, err := faulty(); err == nil {
		_ = os.RemoveAll(filepath.Dir(path))
	}
	os.Exit(code)
}

// group starts servers and founds a group of the first ones.
func group(t *testing.T, n, copies int, lines ...string) *Group {
	program, err := faulty()
	require.NoError(t, err)
	g, err := NewGroup(program, settings(t), n, copies, lines...)
	require.NoError(t, err)
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(g.Log())
		}
		require.NoError(t, g.Close())
	})
	require.NoError(t, g.StartAll())
	return g
}

func (g *Group) intake(t *testing.T, id int, key string, retry bool) Told {
	told, err := g.Intake(id, key, time.Now(), retry)
	require.NoError(t, err)
	return told
}

var served = func(key string) Told { return Told{thrift.Answered, "did " + key} }

// What one server has served is found at any other, by a repeat, also once that server is lost with its disk; and it ran once.
func TestLostAfterAnswer(t *testing.T) {
	t.Parallel()
	g := group(t, 3, 3)
	require.Equal(t, served("lot"), g.intake(t, 1, "lot", false))
	require.NoError(t, g.Kill(1))
	require.NoError(t, g.Wipe(1))
	require.Equal(t, served("lot"), g.intake(t, 2, "lot", true))
	require.Equal(t, served("lot"), g.intake(t, 3, "lot", true))
	require.NoError(t, g.Start(1))
	require.NoError(t, g.Settled())
	s, err := g.State(1)
	require.NoError(t, err)
	require.Equal(t, 1, s.Counters.Held, "its copy is there again")
	require.Equal(t, served("lot"), g.intake(t, 1, "lot", true))
	require.Empty(t, g.Ledger.Twice())
}
