// Package identity identifies the tenant of a request.
//
// A request carries the key of a tenant as "Authorization: Bearer KEY". The key is hashed
// as soon as it is read, and neither logged nor passed on; later stages of request processing
// get only the tenant. The functions of this package have no side effects.
package identity

import (
	"net/http"
	"strings"

	"github.com/juju/errors"

	"github.com/tuliphall/tuliphall/config"
)

// HeaderAuthorization is the header that carries the key of a tenant.
const HeaderAuthorization = "Authorization"

// AuthScheme is the authentication scheme (RFC 6750), also sent as the challenge to a caller without a valid key.
const AuthScheme = "Bearer"

// Reasons why a request has no valid key. No error contains what the caller sent.
const (
	// ErrNoKey: the header is missing or empty.
	ErrNoKey = errors.ConstError("the request carries no key: send the header " + HeaderAuthorization + ": " + AuthScheme + " KEY")
	// ErrRepeatedKey: the header occurs more than once, so that other software could read a different key.
	ErrRepeatedKey = errors.ConstError("the request carries the header " + HeaderAuthorization + " more than once")
	// ErrMalformedKey: the header is not the word Bearer, spaces and a key.
	ErrMalformedKey = errors.ConstError("the header " + HeaderAuthorization + " is not " + AuthScheme + " and a key of 1 to 512 printable characters")
	// ErrUnknownKey: no tenant has the key.
	ErrUnknownKey = errors.ConstError("no tenant has the key")
)

// KeyFromHeader returns the hash of the key in the header of a request. It does not allocate.
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
	if !strings.EqualFold(scheme, AuthScheme) || !wellFormed(key) {
		return config.KeyHash{}, ErrMalformedKey
	}
	return config.HashKey(key), nil
}

// wellFormed reports whether a key has 1 to config.MaxKeyBytes printable ASCII characters without spaces.
func wellFormed(key string) bool {
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

// Caller is the sender of a request. The zero value is an unknown caller.
type Caller struct {
	// Tenant is the owner of the key in the request; nil: the route is public and the key missing or
	// unknown, or no tenants are declared.
	Tenant *config.Tenant
	key    config.KeyHash
	// forwarded: another daemon has checked the key.
	forwarded bool
}

// Identify returns the caller of a request. If tenants are declared, the error is the reason
// why the request must not be served; on a public route a missing or invalid key is no error.
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

// IdentifyForwarded returns the caller of a request that another daemon has identified and forwards,
// and false if this daemon does not know the tenant. An empty name means no tenant.
func IdentifyForwarded(snapshot *config.Snapshot, name string) (Caller, bool) {
	if name == "" {
		return Caller{forwarded: true}, true
	}
	tenant, known := snapshot.TenantByName(name)
	return Caller{Tenant: tenant, forwarded: true}, known
}

// TenantName returns the name of the tenant; empty: no tenant.
func (c Caller) TenantName() string {
	if c.Tenant == nil {
		return ""
	}
	return c.Tenant.Name
}

// RateLimited reports whether the tenant has a rate limit.
func (c Caller) RateLimited() bool {
	return c.Tenant != nil && c.Tenant.Rate > 0
}

// StillValid reports whether the caller would still be identified as the same tenant: the key of a
// waiting request may be revoked in the meantime.
func (c Caller) StillValid(snapshot *config.Snapshot) bool {
	if c.Tenant == nil {
		return true
	}
	if c.forwarded {
		_, known := snapshot.TenantByName(c.Tenant.Name)
		return known
	}
	tenant, known := snapshot.TenantByKey(c.key)
	return known && tenant.Name == c.Tenant.Name
}
