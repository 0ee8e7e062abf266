package logging

import (
	"strconv"
	"strings"
)

// maxExcerptBytes bounds an excerpt.
const maxExcerptBytes = 200

// ExcerptOfError returns the text of an error that may quote what others have written, shortened, and with what is not
// printable escaped; nil: empty.
func ExcerptOfError(err error) string {
	if err == nil {
		return ""
	}
	return Excerpt(err.Error(), maxExcerptBytes)
}

// Excerpt shortens a text that others have written to a number of bytes, and escapes what is not printable.
func Excerpt(text string, maxBytes int) string {
	const ellipsis = "..."
	if len(text) > maxBytes {
		text = text[:maxBytes-len(ellipsis)] + ellipsis
	}
	quoted := strconv.QuoteToGraphic(text)
	return strings.ReplaceAll(quoted[1:len(quoted)-1], `\"`, `"`)
}
