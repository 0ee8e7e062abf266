package peer

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/config"
)

// TestDocumentIsEncodedOnce checks that repeated requests for a large document share one small
// encoding, and that the next revision gets a new one.
func TestDocumentIsEncodedOnce(t *testing.T) {
	document := config.Document{Revision: 3}
	for number := range 500 {
		document.Content.Routes = append(document.Content.Routes, config.Route{
			Name: fmt.Sprintf("r-%d", number), Hosts: []string{"a.example"}, PathPrefix: fmt.Sprintf("/%d/", number),
			Shares: []config.Share{{Service: "prices", Weight: 1}}, Policy: "safe", Attempts: 2,
		})
	}
	var cache encodingCache
	first, err := cache.encodeDocument(document)
	require.NoError(t, err)
	again, err := cache.encodeDocument(document)
	require.NoError(t, err)
	require.Same(t, &first[0], &again[0], "encoded again")
	plain, err := json.Marshal(document)
	require.NoError(t, err)
	require.Less(t, len(first), len(plain)/5)
	var decoded config.Document
	require.NoError(t, unmarshalCompressed(first, &decoded))
	require.Equal(t, document, decoded)
	document.Revision++
	next, err := cache.encodeDocument(document)
	require.NoError(t, err)
	require.NotSame(t, &first[0], &next[0])
	require.Error(t, unmarshalCompressed(plain, &decoded))
}
