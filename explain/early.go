package explain

import (
	"fmt"
	"slices"
)

const messageEarlyResponse = "frontend: response before the end of the request's body"

// earlyResponse describes what became of the body of a request whose back end responded before the end of it; empty: it did
// not.
func earlyResponse(lines []Line) string {
	index := slices.IndexFunc(lines, func(line Line) bool { return line.Message == messageEarlyResponse })
	if index < 0 {
		return ""
	}
	early := lines[index]
	if early.BodyWhole {
		return fmt.Sprintf(" It responded before the end of the request's body; the rest was passed on in the %s after that, %d bytes in all.", early.AfterResponse, early.BodyBytes)
	}
	return fmt.Sprintf(" It responded before the end of the request's body, of which it got %d bytes and then a broken connection, %s after the response (%s).", early.BodyBytes, early.AfterResponse, early.Cause)
}
