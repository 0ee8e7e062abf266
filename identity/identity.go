// Package identity finds out whose request a request is.
//
// A request carries the key of a tenant as "Authorization: Bearer KEY". The key is hashed
// as soon as it is read, and neither logged nor passed on; whoever goes on with the
// request is given the tenant. Everything here is pure.
package identity

import (
	"net/http"
	"strings"

	"github.com/juju/errors"

	"github.com/tuliphall/tuliphall/config"
)

// HeaderAuthorization carries the key of a tenant.
const HeaderAuthorization = "Authorization"

// AuthScheme is what a caller without a valid key is told to send (RFC 6750).
const AuthScheme = "Bearer"

// Why a request has no usable key. No error repeats what the caller sent.
const (
	// ErrNoKey: the header is missing or empty.
	ErrNoKey = errors.ConstError("the request carries no key: send the header " + HeaderAuthorization + ": " + AuthScheme + " KEY")
	// ErrRepeatedKey: the header is there more than once, so that others could read another key.
	ErrRepeatedKey = errors.ConstError("the request carries the header " + HeaderAuthorization + " more than once")
	// ErrMalformedKey: the header is not the word Bearer, blanks, and a key.
	ErrMalformedKey = errors.ConstError("the header " + HeaderAuthorization + " is not " + AuthScheme + " and a key of 1 to 512 printable characters")
	// ErrUnknownKey: no tenant has the key.
	ErrUnknownKey = errors.ConstError("no tenant has the key")
)

// KeyFromHeader returns the hash of the key that a request carries. It does not allocate.
func KeyFromHeader(header http.Header) (config.KeyHash, error) {
	values := header[HeaderAuthorization]
	switch {
	case len(values) > 1:
		return config.KeyHash{}, ErrRepeatedKey
	case len(values) == 0 || values[0] == "":
		return config.KeyHash{}, ErrNoKey
	}
	scheme, key, _ := strings.Cut(values[0], " ")
	key = strings.Trim(key, " ")
	if !strings.EqualFold(scheme, AuthScheme) || !usable(key) {
		return config.KeyHash{}, ErrMalformedKey
	}
	return config.HashKey(key), nil
}

// usable says whether a key is short enough and all printable, without blanks.
func usable(key string) bool {
	if key == "" || len(key) > config.MaxKeyBytes {
		return false
	}
	for _, char := range []byte(key) {
		if char <= ' ' || char >= 0x7f {
			return false
		}
	}
	return true
}

// Caller is who sent a request. The zero value is a caller that is not known.
type Caller struct {
	// Tenant is whose key the request carries; nil: it needs none, or no tenants are declared.
	Tenant *config.Tenant
	key    config.KeyHash
	// told: another daemon has looked at the key.
	told bool
}

// Identify returns whose request it is. Where tenants are declared, the error says why
// a request must not be served; on a public route a key that is not known is no error.
func Identify(snapshot *config.Snapshot, header http.Header, public bool) (Caller, error) {
	if !snapshot.HasTenants() {
		return Caller{}, nil
	}
	key, err := KeyFromHeader(header)
	if err == nil {
		if tenant, known := snapshot.TenantByKey(key); known {
			return Caller{Tenant: tenant, key: key}, nil
		}
		err = ErrUnknownKey
	}
	if public {
		return Caller{}, nil
	}
	return Caller{}, err
}

// IdentifyForwarded returns the caller of a request that another daemon has looked at and passes on,
// and false where the tenant is not known here. An empty name stands for no tenant.
func IdentifyForwarded(snapshot *config.Snapshot, name string) (Caller, bool) {
	if name == "" {
		return Caller{told: true}, true
	}
	tenant, known := snapshot.TenantByName(name)
	return Caller{Tenant: tenant, told: true}, known
}

// TenantName returns the name of the tenant; empty: there is none.
func (c Caller) TenantName() string {
	if c.Tenant == nil {
		return ""
	}
	return c.Tenant.Name
}

// RateLimited says whether the tenant's requests are counted.
func (c Caller) RateLimited() bool {
	return c.Tenant != nil && c.Tenant.Rate > 0
}

// StillValid says whether the caller would still be identified alike: the key of a request that
// waits may be withdrawn meanwhile.
func (c Caller) StillValid(snapshot *config.Snapshot) bool {
	if c.Tenant == nil {
		return true
	}
	if c.told {
		_, known := snapshot.TenantByName(c.Tenant.Name)
		return known
	}
	tenant, known := snapshot.TenantByKey(c.key)
	return known && tenant.Name == c.Tenant.Name
}
