package config

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"github.com/juju/errors"
)

// Tenant is a customer whose requests carry a key. Where any tenant is declared, every
// request needs the key of one, but those on public routes.
type Tenant struct {
	Name string `toml:"name" json:"name"`
	// Keys are the hashes of the keys that are valid now; a key is replaced by adding the
	// new one before the old one is taken away.
	Keys []KeyHash `toml:"keys" json:"keys,omitempty"`
	// Rate is how many requests a second back ends run for the tenant, over all daemons
	// together; 0: any number.
	Rate float64 `toml:"rate" json:"rate,omitempty"`
	// Burst is how many requests beyond the rate are let through at once.
	Burst float64 `toml:"burst" json:"burst,omitempty"`
	// Weight goes before the weight of the policy; 0: that of the policy.
	Weight int `toml:"weight" json:"weight,omitempty"`
}

// KeyHash is the SHA-256 hash of a tenant's key. Keys themselves are neither kept nor
// written anywhere.
type KeyHash [sha256.Size]byte

// keyHashPrefix says how a key was hashed.
const keyHashPrefix = "sha256:"

// MaxKeyBytes is the longest key that a caller may send.
const MaxKeyBytes = 512

// HashKey returns the hash of a key of at most MaxKeyBytes. It does not allocate.
func HashKey(key string) KeyHash {
	var bytes [MaxKeyBytes]byte
	length := copy(bytes[:], key)
	return sha256.Sum256(bytes[:length])
}

// MarshalText implements encoding.TextMarshaler.
func (h KeyHash) MarshalText() ([]byte, error) {
	return append([]byte(keyHashPrefix), hex.EncodeToString(h[:])...), nil
}

// UnmarshalText implements encoding.TextUnmarshaler. The error does not repeat the text,
// which may be a key that was written by mistake.
func (h *KeyHash) UnmarshalText(text []byte) error {
	digits, prefixed := strings.CutPrefix(string(text), keyHashPrefix)
	decoded, err := hex.DecodeString(digits)
	if !prefixed || err != nil || len(decoded) != len(h) {
		return errors.NotValidf("key: allowed: %q and 64 hexadecimal digits, as `tuliphall hash-key` prints them; the text that is given", keyHashPrefix)
	}
	copy(h[:], decoded)
	return nil
}

// tenantTable finds tenants. It is immutable.
type tenantTable struct {
	byKey  map[KeyHash]*Tenant
	byName map[string]*Tenant
	rates  bool // some tenant has a rate
}

func newTenantTable(declared []Tenant) tenantTable {
	table := tenantTable{byKey: make(map[KeyHash]*Tenant), byName: make(map[string]*Tenant, len(declared))}
	for index := range declared {
		tenant := &declared[index]
		table.byName[tenant.Name] = tenant
		table.rates = table.rates || tenant.Rate > 0
		for _, key := range tenant.Keys {
			table.byKey[key] = tenant
		}
	}
	return table
}

// HasTenants says whether requests need the key of a tenant.
func (s *Snapshot) HasTenants() bool {
	return len(s.tenants.byName) > 0
}

// HasRateLimits says whether any tenant's requests are counted.
func (s *Snapshot) HasRateLimits() bool {
	return s.tenants.rates
}

// TenantByKey returns the tenant that has a key.
func (s *Snapshot) TenantByKey(key KeyHash) (*Tenant, bool) {
	tenant, known := s.tenants.byKey[key]
	return tenant, known
}

// TenantByName returns a tenant by its name.
func (s *Snapshot) TenantByName(name string) (*Tenant, bool) {
	tenant, known := s.tenants.byName[name]
	return tenant, known
}

// Bounds on tenants.
const (
	MaxTenants      = 10000
	MaxTenantKeys   = 64
	MaxTenantRate   = 1_000_000.0
	MaxTenantWeight = 1_000_000
)

func (v *validator) tenants(declared []Tenant) {
	checkRange(v, ObjectKey{Kind: "document", Name: "all"}, "tenants", len(declared), 0, MaxTenants)
	names := make(map[string]bool, len(declared))
	owners := make(map[KeyHash]string)
	for _, tenant := range declared {
		object := ObjectKey{Kind: KindTenant, Name: tenant.Name}
		v.check(namePattern.MatchString(tenant.Name), object, "name", tenant.Name, nameAllowed)
		v.check(!names[tenant.Name], object, "name", tenant.Name, "a name used once")
		names[tenant.Name] = true
		checkRange(v, object, "keys", len(tenant.Keys), 0, MaxTenantKeys)
		checkRange(v, object, "rate", tenant.Rate, 0, MaxTenantRate)
		checkRange(v, object, "burst", tenant.Burst, 0, MaxTenantRate)
		checkRange(v, object, "weight", tenant.Weight, 0, MaxTenantWeight)
		for index, key := range tenant.Keys {
			owner, taken := owners[key]
			v.check(!taken, object, "keys", index, "keys that no tenant has yet; "+owner+" has this one")
			owners[key] = tenant.Name
		}
	}
}
