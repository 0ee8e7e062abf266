package identity_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/config"
	"github.com/tuliphall/tuliphall/identity"
)

func snapshotOf(t testing.TB, tenants ...config.Tenant) *config.Snapshot {
	t.Helper()
	snapshot, err := config.NewSnapshot(config.Document{Revision: 1, Content: config.Content{Tenants: tenants}})
	require.NoError(t, err)
	return snapshot
}

func header(values ...string) http.Header {
	return http.Header{identity.HeaderAuthorization: values}
}

// TestIdentify gives each form of the header its answer.
func TestIdentify(t *testing.T) {
	snapshot := snapshotOf(t,
		config.Tenant{Name: "north", Keys: []config.KeyHash{config.HashKey("n-old"), config.HashKey("n-new")}},
		config.Tenant{Name: "south", Keys: []config.KeyHash{config.HashKey("s-key")}})
	longest := strings.Repeat("k", config.MaxKeyBytes)
	for _, one := range []struct {
		header http.Header
		tenant string
		cause  error
	}{
		{header("Bearer n-old"), "north", nil},
		{header("Bearer n-new"), "north", nil},
		{header("bearer s-key"), "south", nil},
		{header("BEARER   s-key "), "south", nil},
		{header("Bearer s-key2"), "", identity.ErrUnknownKey},
		{header("Bearer S-KEY"), "", identity.ErrUnknownKey},
		{header("Bearer " + longest), "", identity.ErrUnknownKey},
		{header("Bearer " + longest + "k"), "", identity.ErrMalformedKey},
		{header("Bearer"), "", identity.ErrMalformedKey},
		{header("Bearer "), "", identity.ErrMalformedKey},
		{header("Bearer s-key n-old"), "", identity.ErrMalformedKey},
		{header("Bearer s-key\x00"), "", identity.ErrMalformedKey},
		{header("Basic s-key"), "", identity.ErrMalformedKey},
		{header("s-key"), "", identity.ErrMalformedKey},
		{header("Bearer s-key", "Bearer s-key"), "", identity.ErrRepeatedKey},
		{header(""), "", identity.ErrNoKey},
		{http.Header{}, "", identity.ErrNoKey},
	} {
		caller, err := identity.Identify(snapshot, one.header, false)
		require.Equal(t, one.tenant, caller.TenantName(), "%q", one.header)
		if one.cause == nil {
			require.NoError(t, err)
			continue
		}
		require.ErrorIs(t, err, one.cause, "%q", one.header)
		require.NotContains(t, err.Error(), "s-key", "an error repeats no key")
		caller, err = identity.Identify(snapshot, one.header, true)
		require.NoError(t, err, "public routes need no key")
		require.Nil(t, caller.Tenant)
	}
	caller, err := identity.Identify(snapshotOf(t), http.Header{}, false)
	require.NoError(t, err, "without declared tenants no key is needed")
	require.Nil(t, caller.Tenant)
}

// TestWithdrawnKey says of a caller whose key is taken away that it does not hold any more.
func TestWithdrawnKey(t *testing.T) {
	before := snapshotOf(t, config.Tenant{Name: "north", Keys: []config.KeyHash{config.HashKey("old"), config.HashKey("new")}})
	after := snapshotOf(t, config.Tenant{Name: "north", Keys: []config.KeyHash{config.HashKey("new")}})
	moved := snapshotOf(t, config.Tenant{Name: "north"}, config.Tenant{Name: "south", Keys: []config.KeyHash{config.HashKey("new")}})
	for key, holds := range map[string]bool{"old": false, "new": true} {
		caller, err := identity.Identify(before, header("Bearer "+key), false)
		require.NoError(t, err)
		require.True(t, caller.StillValid(before))
		require.Equal(t, holds, caller.StillValid(after))
		require.False(t, caller.StillValid(moved), "another tenant has the key")
	}
	told, known := identity.IdentifyForwarded(before, "north")
	require.True(t, known)
	require.True(t, told.StillValid(moved), "the daemon that was asked first looks at the key")
	require.False(t, told.StillValid(snapshotOf(t)))
	_, known = identity.IdentifyForwarded(before, "east")
	require.False(t, known)
}

// BenchmarkIdentify looks a key up among few and many tenants: 150 ns without an allocation
// at 10 as at 10,000.
func BenchmarkIdentify(b *testing.B) {
	for _, tenants := range []int{10, 10_000} {
		b.Run(fmt.Sprint(tenants), func(b *testing.B) {
			var declared []config.Tenant
			for number := range tenants {
				declared = append(declared, config.Tenant{Name: fmt.Sprintf("t-%d", number), Keys: []config.KeyHash{config.HashKey(fmt.Sprintf("key-%d", number))}})
			}
			snapshot, sent := snapshotOf(b, declared...), header("Bearer key-7")
			b.ReportAllocs()
			for b.Loop() {
				if _, err := identity.Identify(snapshot, sent, false); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
