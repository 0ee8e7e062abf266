package config

import (
	"fmt"
	"time"

	"github.com/tuliphall/tuliphall/requestlimits"
)

// RequestLimits are the operator's limits on the requests of callers. A document has one such object at most.
type RequestLimits struct {
	// MaxHeaderBytes is the size of the largest head of a request; 0: 64 KiB.
	MaxHeaderBytes int `toml:"max_header_bytes" json:"max_header_bytes,omitempty"`
	// MaxBodyBytes is the size of the largest body; 0: unlimited.
	MaxBodyBytes int64 `toml:"max_body_bytes" json:"max_body_bytes,omitempty"`
	// HeaderTimeout is the time in which a head must arrive; 0: 10 s.
	HeaderTimeout Duration `toml:"header_timeout" json:"header_timeout,omitempty"`
	// IdleTimeout is how long a connection without a request is kept; 0: as long as the caller keeps it.
	IdleTimeout Duration `toml:"idle_timeout" json:"idle_timeout,omitempty"`
}

// Bounds on limits.
const (
	MaxHeaderBytesLimit = requestlimits.MaxHeadBytes
	MaxBodyBytesLimit   = 1 << 50
	MaxHeaderTimeout    = Duration(time.Hour)
	MaxIdleTimeout      = Duration(24 * time.Hour)
)

// LimitsName is the name of the object with the limits, of which there is only one.
const LimitsName = "requests"

// limitsKey is the key of the object with the limits.
var limitsKey = ObjectKey{Kind: KindLimits, Name: LimitsName}

// Limits returns the limits on requests that the snapshot declares.
func (s *Snapshot) Limits() requestlimits.Limits {
	if s == nil || s.Document.Content.Limits == nil {
		return requestlimits.Limits{}
	}
	declared := s.Document.Content.Limits
	return requestlimits.Limits{
		HeadBytes: declared.MaxHeaderBytes, BodyBytes: declared.MaxBodyBytes,
		HeadTimeout: time.Duration(declared.HeaderTimeout), IdleTimeout: time.Duration(declared.IdleTimeout),
	}
}

// Validate checks the limits by themselves.
func (l RequestLimits) Validate() error {
	return Content{Limits: &l}.Validate()
}

func (v *validator) limits(declared *RequestLimits) {
	if declared == nil {
		return
	}
	checkRange(v, limitsKey, "max_header_bytes", declared.MaxHeaderBytes, 0, MaxHeaderBytesLimit)
	v.check(declared.MaxBodyBytes >= 0 && declared.MaxBodyBytes <= MaxBodyBytesLimit, limitsKey, "max_body_bytes", declared.MaxBodyBytes, fmt.Sprintf("0 to %d", int64(MaxBodyBytesLimit)))
	v.checkDuration(limitsKey, "header_timeout", declared.HeaderTimeout, MaxHeaderTimeout)
	v.checkDuration(limitsKey, "idle_timeout", declared.IdleTimeout, MaxIdleTimeout)
}
