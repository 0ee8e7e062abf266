package peer

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/config"
)

// TestDocumentIsEncodedOnce gives many daemons the same small encoding of a large
// document, and a new one for the next revision.
func TestDocumentIsEncodedOnce(t *testing.T) {
	document := config.Document{Revision: 3}
	for number := range 500 {
		document.Content.Routes = append(document.Content.Routes, config.Route{
			Name: fmt.Sprintf("r-%d", number), Hosts: []string{"a.example"}, PathPrefix: fmt.Sprintf("/%d/", number),
			Shares: []config.Share{{Service: "prices", Weight: 1}}, Policy: "safe", Attempts: 2,
		})
	}
	var kept encodings
	first, err := kept.documentOf(document)
	require.NoError(t, err)
	again, err := kept.documentOf(document)
	require.NoError(t, err)
	require.Same(t, &first[0], &again[0], "encoded anew")
	plain, err := json.Marshal(document)
	require.NoError(t, err)
	require.Less(t, len(first), len(plain)/5)
	var decoded config.Document
	require.NoError(t, decompress(first, &decoded))
	require.Equal(t, document, decoded)
	document.Revision++
	next, err := kept.documentOf(document)
	require.NoError(t, err)
	require.NotSame(t, &first[0], &next[0])
	require.Error(t, decompress(plain, &decoded))
}
