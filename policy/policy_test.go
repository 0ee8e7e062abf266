package policy_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/policy"
)

func request(method, path string) policy.Request {
	return policy.Request{Method: method, Path: path, Header: http.Header{"X-Kind": {"late"}, policy.HeaderIdempotencyKey: {"k1"}}}
}

func TestEvaluate(t *testing.T) {
	program, err := policy.Compile(policy.Source{
		Class: `path.startsWith("/history") ? "batch" : "read"`, Weight: `header["x-kind"] == "late" ? 7 : 1`,
		Retry: `method == "GET"`, Wait: `duration("3s")`, Once: `method == "POST"`,
	})
	require.NoError(t, err)
	decision, err := program.Evaluate(request("GET", "/history/5"))
	require.NoError(t, err)
	require.Equal(t, policy.Decision{Class: "batch", Weight: 7, Retry: true, Wait: 3 * time.Second}, decision)
	decision, err = program.Evaluate(request("POST", "/swap"))
	require.NoError(t, err)
	require.Equal(t, policy.Decision{Class: "read", Weight: 7, Wait: 3 * time.Second, Once: true, Key: "k1"}, decision)
}

// TestEvaluationFailsSafe evaluates expressions that fail because a header is missing.
func TestEvaluationFailsSafe(t *testing.T) {
	program, err := policy.Compile(policy.Source{Class: `header["missing"]`, Weight: "50", Retry: "true", Once: `header["missing"] == "x"`})
	require.NoError(t, err)
	decision, err := program.Evaluate(request("GET", "/"))
	require.Error(t, err)
	require.Equal(t, policy.Decision{Class: policy.DefaultClass, Weight: 1, Once: true, Key: "k1"}, decision)
}

func FuzzCompile(f *testing.F) {
	f.Add(`method == "GET"`)
	f.Add(`header.all(k, k.size() < 5)`)
	f.Fuzz(func(_ *testing.T, text string) {
		program, err := policy.Compile(policy.Source{Retry: text})
		if err == nil {
			_, _ = program.Evaluate(request("GET", "/"))
		}
	})
}

func BenchmarkEvaluate(b *testing.B) {
	program, err := policy.Compile(policy.Source{Class: `path.startsWith("/history") ? "batch" : "read"`, Weight: "100", Retry: `method == "GET"`})
	if err != nil {
		b.Fatal(err)
	}
	input := request("GET", "/prices")
	b.ReportAllocs()
	for b.Loop() {
		if _, err := program.Evaluate(input); err != nil {
			b.Fatal(err)
		}
	}
}
