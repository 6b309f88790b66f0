package server

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pewterline/control"
	"pewterline/internal/microtime"
)

// A class that a reload retires is accepted for its retention window, but at least for minRetiredAcceptance.
func TestRetiredClassIsAcceptedUntilExpiry(t *testing.T) {
	for _, tc := range []struct {
		name      string
		retention time.Duration
		accepted  microtime.Time
	}{
		{"short retention", time.Second, minRetiredAcceptance},
		{"long retention", 20 * time.Second, 20 * microtime.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			class := control.Class{Name: "lot-intake", RetentionWindow: tc.retention}
			old := control.Settings{Classes: []control.Class{{Name: "block-view"}, class}}
			class.Retired = true
			settings := control.Settings{Classes: []control.Class{{Name: "block-view"}, class}}
			names := newNameIndex(old)
			const now = microtime.Second
			names.replace(old, settings, now)
			index, known := names.class("lot-intake")
			require.True(t, known)
			require.Equal(t, 1, index)
			require.True(t, names.accepted(1))
			require.False(t, names.accepted(0))

			end := now + tc.accepted
			require.Equal(t, end, names.expireRetired(settings, end-1))
			_, known = names.class("lot-intake")
			require.True(t, known)
			require.Equal(t, microtime.Never, names.expireRetired(settings, end))
			_, known = names.class("lot-intake")
			require.False(t, known)
		})
	}
}

// A new class replaces a retired class of the same name at once, and a retired class that is restored at its index is
// served again.
func TestRetiredClassIsReplaced(t *testing.T) {
	old := control.Settings{Classes: []control.Class{{Name: "block-view"}}}
	replaced := control.Settings{Classes: []control.Class{{Name: "block-view", Retired: true}, {Name: "block-view"}}}
	names := newNameIndex(old)
	names.replace(old, replaced, microtime.Second)
	index, known := names.class("block-view")
	require.True(t, known)
	require.Equal(t, 1, index)
	require.True(t, names.accepted(0), "its index is still in use")

	names.replace(replaced, old, 2*microtime.Second)
	index, known = names.class("block-view")
	require.True(t, known)
	require.Zero(t, index)
	require.False(t, names.accepted(0))
}

// If the settings name tenants, all others are unknown. If they name none, every name is known.
func TestTenantNames(t *testing.T) {
	tenants := []control.Tenant{{Name: "hill-estate"}, {Name: "lake-vines"}}
	named := newNameIndex(control.Settings{Tenants: tenants})
	index, known := named.tenant("lake-vines")
	require.True(t, known)
	require.Equal(t, 1, index)
	_, known = named.tenant("no-such")
	require.False(t, known)

	unnamed := newNameIndex(control.Settings{})
	index, known = unnamed.tenant("any-tenant")
	require.True(t, known)
	require.Zero(t, index)
}
