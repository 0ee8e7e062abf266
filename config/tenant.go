package config

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"github.com/juju/errors"
)

// Tenant is a customer whose requests carry a key. If any tenant is declared, every
// request except those on public routes needs the key of a tenant.
type Tenant struct {
	Name string `toml:"name" json:"name"`
	// Keys holds the hashes of the valid keys. To rotate a key, add the new one before
	// removing the old one.
	Keys []KeyHash `toml:"keys" json:"keys,omitempty"`
	// Rate limits the requests per second that back ends run for the tenant, for all daemons
	// together; 0: unlimited.
	Rate float64 `toml:"rate" json:"rate,omitempty"`
	// Burst is the number of requests admitted at once beyond the rate.
	Burst float64 `toml:"burst" json:"burst,omitempty"`
	// Weight overrides the weight of the policy; 0: the policy's weight.
	Weight int `toml:"weight" json:"weight,omitempty"`
	// Share is the tenant's part of the capacity, relative to other tenants of the same weight,
	// in services with ShareBy; 0: 1.
	Share float64 `toml:"share" json:"share,omitempty"`
}

// KeyHash is the SHA-256 hash of a tenant's key. The keys themselves are never stored
// or logged.
type KeyHash [sha256.Size]byte

// keyHashPrefix identifies the hash function in the text form.
const keyHashPrefix = "sha256:"

// MaxKeyBytes is the maximum length of a key that a caller may send.
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

// UnmarshalText implements encoding.TextUnmarshaler. The error does not contain the
// text, which may be a key given by mistake.
func (h *KeyHash) UnmarshalText(text []byte) error {
	digits, prefixed := strings.CutPrefix(string(text), keyHashPrefix)
	decoded, err := hex.DecodeString(digits)
	if !prefixed || err != nil || len(decoded) != len(h) {
		return errors.NotValidf("key: allowed: %q and 64 hexadecimal digits, as `tuliphall hash-key` prints them; the given text", keyHashPrefix)
	}
	copy(h[:], decoded)
	return nil
}

// tenantTable finds tenants. It is immutable.
type tenantTable struct {
	byKey    map[KeyHash]*Tenant
	byName   map[string]*Tenant
	declared bool // whether any tenant is declared, in force or not
	hasRates bool // whether any tenant has a rate limit
}

func newTenantTable(declared []Tenant) tenantTable {
	table := tenantTable{byKey: make(map[KeyHash]*Tenant), byName: make(map[string]*Tenant, len(declared))}
	for index := range declared {
		tenant := &declared[index]
		table.byName[tenant.Name] = tenant
		table.hasRates = table.hasRates || tenant.Rate > 0
		for _, key := range tenant.Keys {
			table.byKey[key] = tenant
		}
	}
	return table
}

// HasTenants reports whether any tenant is declared, so that requests need a key.
func (s *Snapshot) HasTenants() bool {
	return s.tenants.declared
}

// HasRateLimits reports whether any tenant has a rate limit.
func (s *Snapshot) HasRateLimits() bool {
	return s.tenants.hasRates
}

// TenantByKey returns the tenant to which a key belongs.
func (s *Snapshot) TenantByKey(key KeyHash) (*Tenant, bool) {
	tenant, known := s.tenants.byKey[key]
	return tenant, known
}

// TenantByName returns the tenant with the name.
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
	MaxTenantShare  = 1000.0
)

func (v *validator) tenants(declared []Tenant) {
	v.boundCount(contentKey, "tenants", len(declared), MaxTenants)
	seen := make(map[string]bool, len(declared))
	owners := make(map[KeyHash]string)
	for _, tenant := range declared {
		object := ObjectKey{Kind: KindTenant, Name: tenant.Name}
		v.name(object, "name", tenant.Name)
		v.check(!seen[tenant.Name], object, "name", tenant.Name, "a name used once")
		seen[tenant.Name] = true
		v.boundCount(object, "keys", len(tenant.Keys), MaxTenantKeys)
		checkRange(v, object, "rate", tenant.Rate, 0, MaxTenantRate)
		checkRange(v, object, "burst", tenant.Burst, 0, MaxTenantRate)
		checkRange(v, object, "weight", tenant.Weight, 0, MaxTenantWeight)
		checkRange(v, object, "share", tenant.Share, 0, MaxTenantShare)
		for index, key := range tenant.Keys {
			owner, duplicate := owners[key]
			v.check(!duplicate, object, "keys", index, "keys that no tenant has yet; "+owner+" has this one")
			owners[key] = tenant.Name
		}
	}
}
