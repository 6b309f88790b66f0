package admin

import (
	"net/url"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/protocol/adminhttp"
	"pewterline/internal/replication"
)

// Calls about the group are known where there is one, take their method alone, and turn down what is no server's number before the
// group hears of it.
func TestGroupCallsTurnedDown(t *testing.T) {
	h := New(nil, t.Logf)
	status := func(method, path, query string) int {
		values, err := url.ParseQuery(query)
		require.NoError(t, err)
		_, err = h.obey(adminhttp.Request{Method: method, Path: path, Query: values})
		wrong := (*adminhttp.Error)(nil)
		require.ErrorAs(t, err, &wrong)
		return wrong.Status
	}
	require.Equal(t, 404, status("GET", "/control/copies", ""))
	h.UseReplication(&replication.Replica{})
	for _, c := range []struct {
		method, path, query string
		want                int
	}{
		{"HEAD", "/control/copies", "", 405}, {"GET", "/control/copies/found", "", 405}, {"PUT", "/control/copies/export", "", 405},
		{"PUT", "/control/copies/add", "id=0&address=a:1", 400}, {"PUT", "/control/copies/remove", "id=-1", 400},
		{"PUT", "/control/copies/force", "keep=1,,2", 400}, {"PUT", "/control/copies/force", "keep=4294967296", 400},
	} {
		require.Equal(t, c.want, status(c.method, c.path, c.query), "%s %s?%s", c.method, c.path, c.query)
	}
}
