package quarantine_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/quarantine"
)

var identity = quarantine.Identity{Method: "GET", Host: "prices.example", Target: "/funds/17?day=2", Caller: "10.0.0.1"}

// TestFingerprintCoversEachPart changes each part of an identity in turn, and moves bytes from one
// part to the next: the fingerprint must differ.
func TestFingerprintCoversEachPart(t *testing.T) {
	others := map[string]func(*quarantine.Identity){
		"method": func(i *quarantine.Identity) { i.Method = "PUT" },
		"host":   func(i *quarantine.Identity) { i.Host = "prices.example2" },
		"path":   func(i *quarantine.Identity) { i.Target = "/funds/18?day=2" },
		"query":  func(i *quarantine.Identity) { i.Target = "/funds/17?day=3" },
		"caller": func(i *quarantine.Identity) { i.Caller = "10.0.0.2" },
		"body":   func(i *quarantine.Identity) { i.Body = []byte("x") },
		"length": func(i *quarantine.Identity) { i.Length = -1 },
		"moved":  func(i *quarantine.Identity) { i.Host, i.Target = "prices.example/", "funds/17?day=2" },
	}
	require.Equal(t, identity.Fingerprint(), identity.Fingerprint())
	for host, withPort := range map[string]string{"prices.example": "prices.example:8080", "[::1]": "[::1]:80", "": ":80"} {
		one, other := identity, identity
		one.Host, other.Host = host, withPort
		require.Equal(t, one.Fingerprint(), other.Fingerprint(), withPort)
	}
	for name, change := range others {
		other := identity
		change(&other)
		require.NotEqual(t, identity.Fingerprint(), other.Fingerprint(), name)
	}
}

// TestBroadFingerprint checks that retries from another address or with another query share the broad fingerprint,
// and that other requests do not.
func TestBroadFingerprint(t *testing.T) {
	repeat := identity
	repeat.Caller, repeat.Target = "10.9.9.9", "/funds/17"
	require.Equal(t, identity.Fingerprints().Broad, repeat.Fingerprints().Broad)
	require.NotEqual(t, identity.Fingerprints().Exact, repeat.Fingerprints().Exact)
	require.Equal(t, identity.Fingerprint(), identity.Fingerprints().Exact)
	other := identity
	other.Target = "/funds/18?day=2"
	require.NotEqual(t, identity.Fingerprints().Broad, other.Fingerprints().Broad)
	bare := quarantine.Identity{Method: "GET", Host: "prices.example", Target: "/"}
	require.NotEqual(t, bare.Fingerprints().Exact, bare.Fingerprints().Broad)
}

func TestParseFingerprintReadsString(t *testing.T) {
	want := identity.Fingerprint()
	got, err := quarantine.ParseFingerprint(want.String())
	require.NoError(t, err)
	require.Equal(t, want, got)
	for _, text := range []string{"", "0", "-1", "xyz", "11112222333344445"} {
		_, err := quarantine.ParseFingerprint(text)
		require.ErrorContains(t, err, text)
	}
}

func BenchmarkFingerprint(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		identity.Fingerprints()
	}
}
