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

func newTestSnapshot(t testing.TB, tenants ...config.Tenant) *config.Snapshot {
	t.Helper()
	snapshot, err := config.NewSnapshot(config.Document{Revision: 1, Content: config.Content{Tenants: tenants}})
	require.NoError(t, err)
	return snapshot
}

func authorizationHeader(values ...string) http.Header {
	return http.Header{identity.HeaderAuthorization: values}
}

// TestIdentify checks the tenant or error for each form of the header.
func TestIdentify(t *testing.T) {
	snapshot := newTestSnapshot(t,
		config.Tenant{Name: "north", Keys: []config.KeyHash{config.HashKey("n-old"), config.HashKey("n-new")}},
		config.Tenant{Name: "south", Keys: []config.KeyHash{config.HashKey("s-key")}})
	longest := strings.Repeat("k", config.MaxKeyBytes)
	for _, test := range []struct {
		header http.Header
		tenant string
		cause  error
	}{
		{authorizationHeader("Bearer n-old"), "north", nil},
		{authorizationHeader("Bearer n-new"), "north", nil},
		{authorizationHeader("bearer s-key"), "south", nil},
		{authorizationHeader("BEARER   s-key "), "south", nil},
		{authorizationHeader("Bearer s-key2"), "", identity.ErrUnknownKey},
		{authorizationHeader("Bearer S-KEY"), "", identity.ErrUnknownKey},
		{authorizationHeader("Bearer " + longest), "", identity.ErrUnknownKey},
		{authorizationHeader("Bearer " + longest + "k"), "", identity.ErrMalformedKey},
		{authorizationHeader("Bearer"), "", identity.ErrMalformedKey},
		{authorizationHeader("Bearer "), "", identity.ErrMalformedKey},
		{authorizationHeader("Bearer s-key n-old"), "", identity.ErrMalformedKey},
		{authorizationHeader("Bearer s-key\x00"), "", identity.ErrMalformedKey},
		{authorizationHeader("Basic s-key"), "", identity.ErrMalformedKey},
		{authorizationHeader("s-key"), "", identity.ErrMalformedKey},
		{authorizationHeader("Bearer s-key", "Bearer s-key"), "", identity.ErrRepeatedKey},
		{authorizationHeader(""), "", identity.ErrNoKey},
		{http.Header{}, "", identity.ErrNoKey},
	} {
		caller, err := identity.Identify(snapshot, test.header, false)
		require.Equal(t, test.tenant, caller.TenantName(), "%q", test.header)
		if test.cause == nil {
			require.NoError(t, err)
			continue
		}
		require.ErrorIs(t, err, test.cause, "%q", test.header)
		require.NotContains(t, err.Error(), "s-key", "errors must not contain the key")
		caller, err = identity.Identify(snapshot, test.header, true)
		require.NoError(t, err, "public routes need no valid key")
		require.Nil(t, caller.Tenant)
	}
	caller, err := identity.Identify(newTestSnapshot(t), http.Header{}, false)
	require.NoError(t, err, "no key is needed if no tenants are declared")
	require.Nil(t, caller.Tenant)
}

// TestRevokedKey checks that a caller is no longer valid after its key was revoked or moved to another tenant.
func TestRevokedKey(t *testing.T) {
	before := newTestSnapshot(t, config.Tenant{Name: "north", Keys: []config.KeyHash{config.HashKey("old"), config.HashKey("new")}})
	after := newTestSnapshot(t, config.Tenant{Name: "north", Keys: []config.KeyHash{config.HashKey("new")}})
	moved := newTestSnapshot(t, config.Tenant{Name: "north"}, config.Tenant{Name: "south", Keys: []config.KeyHash{config.HashKey("new")}})
	for key, valid := range map[string]bool{"old": false, "new": true} {
		caller, err := identity.Identify(before, authorizationHeader("Bearer "+key), false)
		require.NoError(t, err)
		require.True(t, caller.StillValid(before))
		require.Equal(t, valid, caller.StillValid(after))
		require.False(t, caller.StillValid(moved), "the key belongs to another tenant")
	}
	forwarded, known := identity.IdentifyForwarded(before, "north")
	require.True(t, known)
	require.True(t, forwarded.StillValid(moved), "the daemon that forwards the request checks the key")
	require.False(t, forwarded.StillValid(newTestSnapshot(t)))
	_, known = identity.IdentifyForwarded(before, "east")
	require.False(t, known)
}

// BenchmarkIdentify measures the lookup of a key among few and many tenants: 150 ns without
// allocations for both 10 and 10,000 tenants.
func BenchmarkIdentify(b *testing.B) {
	for _, tenants := range []int{10, 10_000} {
		b.Run(fmt.Sprint(tenants), func(b *testing.B) {
			var declared []config.Tenant
			for number := range tenants {
				declared = append(declared, config.Tenant{Name: fmt.Sprintf("t-%d", number), Keys: []config.KeyHash{config.HashKey(fmt.Sprintf("key-%d", number))}})
			}
			snapshot, sent := newTestSnapshot(b, declared...), authorizationHeader("Bearer key-7")
			b.ReportAllocs()
			for b.Loop() {
				if _, err := identity.Identify(snapshot, sent, false); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
