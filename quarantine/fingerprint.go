package quarantine

import (
	"encoding/binary"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
)

// Fingerprint identifies a request across retries. It is a hash of what a caller repeats: the
// method, host, target, caller address and body, but not the request id, which is new each time.
// 0 means no fingerprint.
type Fingerprint uint64

// String formats the fingerprint as logs and commands show it.
func (f Fingerprint) String() string {
	return strconv.FormatUint(uint64(f), 16)
}

// ParseFingerprint parses the format of String.
func ParseFingerprint(text string) (Fingerprint, error) {
	value, err := strconv.ParseUint(text, 16, 64)
	if err != nil || value == 0 {
		return 0, errors.NotValidf("fingerprint %q: allowed: 1 to 16 hexadecimal digits, as tuliphall quarantine list prints them; it", text)
	}
	return Fingerprint(value), nil
}

// Fingerprints are the two fingerprints of a request. A caller may retry a request from another
// address or with another query; Broad then still identifies it.
type Fingerprints struct {
	Exact Fingerprint // of the whole Identity
	Broad Fingerprint // without caller and query; 0: not known
}

// Fingerprints returns both fingerprints.
func (i Identity) Fingerprints() Fingerprints {
	broad := i
	broad.Caller = ""
	broad.Target, _, _ = strings.Cut(i.Target, "?")
	broad.broad = true
	return Fingerprints{Exact: i.Fingerprint(), Broad: broad.Fingerprint()}
}

// Identity holds the properties of a request that its fingerprint covers.
type Identity struct {
	Method string
	Host   string // its port is ignored, as a caller may reach each daemon at a different one
	Target string // path and query, as received
	Caller string // IP address
	Body   []byte // as much of the body as is known before the request is sent
	Length int64  // of the body, as declared; negative: unknown
	// broad makes the broad fingerprint differ even if the request has neither caller nor query.
	broad bool
}

// Fingerprint returns the exact fingerprint. It does not allocate, and takes 0.1 µs for a request
// without a body (BenchmarkFingerprint).
func (i Identity) Fingerprint() Fingerprint {
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range [...]string{i.Method, withoutPort(i.Host), i.Target, i.Caller} {
		addPart(&digest, part)
	}
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(i.Length))
	if i.broad {
		length[7] ^= 0x80 // no body is that long
	}
	// Writes to a digest never fail.
	_, _ = digest.Write(length[:])
	_, _ = digest.Write(i.Body)
	return Fingerprint(max(digest.Sum64(), 1))
}

// withoutPort removes the port from a Host header. A host in brackets is an IPv6 address.
func withoutPort(host string) string {
	colon := strings.LastIndexByte(host, ':')
	if colon < 0 || strings.HasSuffix(host, "]") {
		return host
	}
	return host[:colon]
}

// addPart adds the length of a part and the part, so that different sequences of parts never
// give the same bytes.
func addPart(digest *xxhash.Digest, part string) {
	var length [4]byte
	binary.LittleEndian.PutUint32(length[:], uint32(len(part)))
	_, _ = digest.Write(length[:])
	_, _ = digest.WriteString(part)
}
