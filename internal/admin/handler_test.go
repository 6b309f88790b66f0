package admin

import (
	"net/url"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/protocol/adminhttp"
	"pewterline/internal/replication"
)

// The routes about the replication group exist only with a group, and each accepts one method. An invalid member ID is
// rejected before the request reaches the group.
func TestInvalidGroupRequests(t *testing.T) {
	handler := New(nil, t.Logf)
	requireStatus := func(want int, method, path, query string) {
		t.Helper()
		values, err := url.ParseQuery(query)
		require.NoError(t, err)
		_, err = handler.serve(adminhttp.Request{Method: method, Path: path, Query: values})
		var failure *adminhttp.Error
		require.ErrorAs(t, err, &failure)
		require.Equal(t, want, failure.Status, "%s %s?%s", method, path, query)
	}
	requireStatus(404, "GET", "/control/copies", "")
	handler.UseReplication(&replication.Replica{})
	for _, tc := range []struct {
		method string
		path   string
		query  string
		want   int
	}{
		{"HEAD", "/control/copies", "", 405},
		{"GET", "/control/copies/found", "", 405},
		{"PUT", "/control/copies/export", "", 405},
		{"PUT", "/control/copies/add", "id=0&address=a:1", 400},
		{"PUT", "/control/copies/remove", "id=-1", 400},
		{"PUT", "/control/copies/force", "keep=1,,2", 400},
		{"PUT", "/control/copies/force", "keep=4294967296", 400},
	} {
		requireStatus(tc.want, tc.method, tc.path, tc.query)
	}
}
