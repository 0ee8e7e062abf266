package frontend

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/backend"
)

func TestInvalidHeadersAreRejected(t *testing.T) {
	for _, test := range []struct{ name, value string }{
		{HeaderDeadline, "soon"}, {HeaderDeadline, "0"}, {HeaderDeadline, "-5"}, {HeaderDeadline, "999999999999"},
		{HeaderAttempt, "0"}, {HeaderAttempt, "1.5"}, {HeaderAttempt, "100000"},
		{HeaderDepth, "-1"}, {HeaderDepth, "65"}, {HeaderDepth, "x"},
	} {
		_, err := parseHeaders(http.Header{test.name: {test.value}}, backend.DefaultDialect())
		require.ErrorContains(t, err, test.name)
	}
	parsed, err := parseHeaders(http.Header{}, backend.DefaultDialect())
	require.NoError(t, err)
	require.Equal(t, callHeaders{attempt: 1}, parsed)
}

func TestCheckIdempotencyKey(t *testing.T) {
	require.Nil(t, checkIdempotencyKey("order-5"))
	for _, bad := range []string{"", "two words", "\x00", string(make([]byte, maxKeyLength+1))} {
		require.NotNil(t, checkIdempotencyKey(bad))
	}
}

func FuzzParseHeaders(f *testing.F) {
	f.Add("5000", "1", "3", "id")
	f.Add("", "", "", "")
	f.Fuzz(func(t *testing.T, deadline, attempt, depth, id string) {
		parsed, err := parseHeaders(http.Header{HeaderDeadline: {deadline}, HeaderAttempt: {attempt}, HeaderDepth: {depth}}, backend.DefaultDialect())
		if err != nil {
			return
		}
		require.GreaterOrEqual(t, parsed.remaining, time.Duration(0))
		require.GreaterOrEqual(t, parsed.attempt, 1)
		require.LessOrEqual(t, parsed.depth, maxDepth)
		_ = printable(id)
	})
}
