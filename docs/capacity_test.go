// Package docs contains only tests, which check the documentation pages against
// the recorded results.
package docs

import (
	"encoding/json"
	"fmt"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// figurePattern matches a number followed by its source (file, row and field), such as
// 2683 [claims:1000:operations_per_second].
var figurePattern = regexp.MustCompile(`(-?[0-9][0-9,.]*) \[([a-z-]+):([^:\]]+):([a-z0-9_]+)\]`)

// resultRow is one row of a results file, keyed by field name.
type resultRow map[string]any

// readResults returns the rows of a results file, keyed by the row name used on the page.
func readResults(t *testing.T, name string) map[string]resultRow {
	t.Helper()
	data, err := os.ReadFile("results/" + name + ".json")
	require.NoError(t, err)
	rows := make(map[string]resultRow)
	switch name {
	case "claims":
		var results []resultRow
		require.NoError(t, json.Unmarshal(data, &results))
		for _, result := range results {
			rows[fmt.Sprint(result["callers"])] = result
		}
	case "data-path":
		var results []resultRow
		require.NoError(t, json.Unmarshal(data, &results))
		for _, result := range results {
			rows[fmt.Sprintf("%v/%v/%v", result["load"], result["backends"], result["log_decisions"])] = result
		}
	}
	return rows
}

// TestCapacityFigures checks that each sourced figure in CAPACITY.md equals the value in its
// results file, rounded to the number of decimals that the page shows.
func TestCapacityFigures(t *testing.T) {
	page, err := os.ReadFile("CAPACITY.md")
	require.NoError(t, err)
	files := make(map[string]map[string]resultRow)
	figures := figurePattern.FindAllStringSubmatch(string(page), -1)
	require.Greater(t, len(figures), 20)
	for _, match := range figures {
		if files[match[2]] == nil {
			files[match[2]] = readResults(t, match[2])
		}
		row, known := files[match[2]][match[3]]
		require.True(t, known, "no row %s in %s", match[3], match[2])
		value, isNumber := row[match[4]].(float64)
		require.True(t, isNumber, "no figure %s in row %s", match[4], match[3])
		text := strings.ReplaceAll(match[1], ",", "")
		decimals := 0
		if _, fraction, has := strings.Cut(text, "."); has {
			decimals = len(fraction)
		}
		require.Equal(t, strconv.FormatFloat(value, 'f', decimals, 64), text, match[0])
	}
}

// section returns the text below a heading, up to the next heading of the same or a higher
// level.
func section(t *testing.T, page, heading string) string {
	t.Helper()
	_, rest, found := strings.Cut(page, heading)
	require.True(t, found, heading)
	level, _, _ := strings.Cut(heading, " ")
	for line := range strings.SplitSeq(rest, "\n") {
		if hashes, _, _ := strings.Cut(line, " "); hashes != "" && strings.Trim(hashes, "#") == "" && len(hashes) <= len(level) {
			before, _, _ := strings.Cut(rest, "\n"+line)
			return before
		}
	}
	return rest
}

// tableRows returns the cells of each row of the table below a heading, without the table's
// header and delimiter rows.
func tableRows(t *testing.T, page, heading string) [][]string {
	t.Helper()
	var rows [][]string
	for line := range strings.SplitSeq(section(t, page, heading), "\n") {
		if strings.HasPrefix(line, "| ") {
			rows = append(rows, strings.Split(strings.Trim(line, "|"), "|"))
		}
	}
	require.Greater(t, len(rows), 2)
	return rows[2:]
}

// sweepHeadings maps the file with the output of a sweep to the heading of its deployment in
// CAPACITY.md.
var sweepHeadings = map[string]string{
	"sweep-large":     "### The large deployment",
	"sweep-shifted":   "### The shifted deployment",
	"sweep-kingston":  "### Kingston",
	"sweep-zhetysu":   "### Zhetysu",
	"sweep-southeast": "### Southeast",
}

// TestSweepFigures checks that the compared columns of each row of a sweep's table match a
// line of the sweep's output, and that no sweep reported a broken rule.
func TestSweepFigures(t *testing.T) {
	page, err := os.ReadFile("CAPACITY.md")
	require.NoError(t, err)
	for file, heading := range sweepHeadings {
		output, err := os.ReadFile("results/" + file + ".txt")
		require.NoError(t, err)
		require.NotContains(t, string(output), "BROKEN", file)
		var outputLines []string // with each run of white space replaced by one space
		for line := range strings.SplitSeq(string(output), "\n") {
			outputLines = append(outputLines, strings.Join(strings.Fields(line), " "))
		}
		rows := tableRows(t, string(page), heading)
		require.GreaterOrEqual(t, len(rows), 8, heading)
		for _, cells := range rows {
			// The column "at 850" (5) is not compared.
			const sizeColumns, powerColumn, largestSizeColumn = 3, 4, 6
			figures := append(slices.Clone(cells[1:1+sizeColumns]), cells[powerColumn], cells[largestSizeColumn])
			want := strings.Join(strings.Fields(strings.Join(figures, " ")), " ")
			require.True(t, slices.ContainsFunc(outputLines, func(line string) bool { return strings.HasSuffix(line, want) }), "%s, row %s: no line of the sweep output ends in %q", heading, cells[0], want)
		}
	}
}

// TestCapacityRows checks that every row of the table of roles fills in all of its columns,
// including the mechanism and the slope and bound.
func TestCapacityRows(t *testing.T) {
	page, err := os.ReadFile("CAPACITY.md")
	require.NoError(t, err)
	rows := tableRows(t, string(page), "## Roles")
	for _, cells := range rows {
		require.Len(t, cells, 7)
		for _, cell := range cells {
			require.NotEmpty(t, strings.TrimSpace(cell), cells[0])
		}
	}
	require.Greater(t, len(rows), 10)
}
