package resultcode_test

import (
	"fmt"
	"os"
	"regexp"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/resultcode"
)

// TestTableInDocs keeps docs/result-codes.md equal to the code.
func TestTableInDocs(t *testing.T) {
	text, err := os.ReadFile("../docs/result-codes.md")
	require.NoError(t, err)
	rows := regexp.MustCompile(`(?m)^\| (\d+) \| .*$`).FindAllString(string(text), -1)
	var wanted []string
	for _, info := range resultcode.Table() {
		wanted = append(wanted, fmt.Sprintf("| %d | %s | %s | %d | %s |", info.Code, info.Name, info.Run, info.Status, info.Title))
	}
	require.Equal(t, wanted, rows)
}

// TestRunStateFollowsNumber checks that the thousands of a code say whether the
// request ran.
func TestRunStateFollowsNumber(t *testing.T) {
	states := map[resultcode.Code]resultcode.RunState{1: resultcode.Run, 2: resultcode.NotRun, 3: resultcode.Unknown}
	for _, info := range resultcode.Table() {
		require.Equal(t, states[info.Code/1000], info.Run, info.Name)
	}
}
