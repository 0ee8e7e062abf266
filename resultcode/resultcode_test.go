package resultcode_test

import (
	"fmt"
	"os"
	"regexp"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/resultcode"
)

// TestDocsMatchTable guards against the table in docs/result-codes.md differing from the code.
func TestDocsMatchTable(t *testing.T) {
	text, err := os.ReadFile("../docs/result-codes.md")
	require.NoError(t, err)
	rows := regexp.MustCompile(`(?m)^\| (\d+) \| .*$`).FindAllString(string(text), -1)
	var want []string
	for _, info := range resultcode.Table() {
		want = append(want, fmt.Sprintf("| %d | %s | %s | %d | %s |", info.Code, info.Name, info.Run, info.Status, info.Title))
	}
	require.Equal(t, want, rows)
}

// TestRunStateMatchesFirstDigit guards against a code whose first digit does not match its run state.
func TestRunStateMatchesFirstDigit(t *testing.T) {
	states := map[resultcode.Code]resultcode.RunState{1: resultcode.Run, 2: resultcode.NotRun, 3: resultcode.Unknown}
	for _, info := range resultcode.Table() {
		require.Equal(t, states[info.Code/1000], info.Run, info.Name)
	}
}
