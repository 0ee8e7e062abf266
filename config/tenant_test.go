package config_test

import (
	"encoding/json"
	"fmt"
	"reflect"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/config"
)

// TestTenantsOfOneKey refuses a key that two tenants have, and names both.
func TestTenantsOfOneKey(t *testing.T) {
	key := config.HashKey("shared")
	err := config.Content{Tenants: []config.Tenant{{Name: "north", Keys: []config.KeyHash{key}}, {Name: "south", Keys: []config.KeyHash{key}}}}.Validate()
	require.ErrorContains(t, err, "tenant/south")
	require.ErrorContains(t, err, "north has this one")
}

// TestTenantSettings refuses what is out of range, with the name of the setting.
func TestTenantSettings(t *testing.T) {
	for _, one := range []struct {
		tenant config.Tenant
		names  string
	}{
		{config.Tenant{Name: "North"}, "setting name"},
		{config.Tenant{Name: "north", Rate: -1}, "setting rate"},
		{config.Tenant{Name: "north", Burst: -1}, "setting burst"},
		{config.Tenant{Name: "north", Weight: -1}, "setting weight"},
		{config.Tenant{Name: "north", Keys: make([]config.KeyHash, config.MaxTenantKeys+1)}, "setting keys"},
	} {
		require.ErrorContains(t, config.Content{Tenants: []config.Tenant{one.tenant}}.Validate(), one.names)
	}
}

// TestKeysAreHashes reads hashes only: a key that is written in their place is refused, and
// the error does not repeat it.
func TestKeysAreHashes(t *testing.T) {
	hash := config.HashKey("secret-key")
	text, err := hash.MarshalText()
	require.NoError(t, err)
	source := fmt.Sprintf("[[tenant]]\nname = \"north\"\nkeys = [%q]\nrate = 5.0\nburst = 2.0\n", text)
	content, err := config.DecodeTOML("tenants.toml", []byte(source))
	require.NoError(t, err)
	require.Equal(t, []config.Tenant{{Name: "north", Keys: []config.KeyHash{hash}, Rate: 5, Burst: 2}}, content.Tenants)

	_, err = config.DecodeTOML("tenants.toml", []byte("[[tenant]]\nname = \"north\"\nkeys = [\"secret-key\"]\n"))
	require.ErrorContains(t, err, "tuliphall hash-key")
	require.NotContains(t, err.Error(), "secret-key")

	document, err := json.Marshal(config.Document{Revision: 3, Content: content})
	require.NoError(t, err)
	read, err := config.DecodeDocument(document)
	require.NoError(t, err)
	require.Equal(t, content, read.Content)
	require.NotContains(t, string(document), "secret-key")
}

// TestWithLeavesNothingOut joins contents that have an object of each kind.
func TestWithLeavesNothingOut(t *testing.T) {
	var one config.Content
	fields := reflect.ValueOf(&one).Elem()
	for index := range fields.NumField() {
		list := fields.Field(index)
		list.Set(reflect.MakeSlice(list.Type(), 1, 1))
	}
	joined := reflect.ValueOf(one.Concat(one))
	for index := range joined.NumField() {
		require.Equal(t, 2, joined.Field(index).Len(), joined.Type().Field(index).Name)
	}
}
