package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// mostPipelined is how many requests a caller that pipelines sends at once at most.
const mostPipelined = 8

// errBehindLast is why a request that was sent behind the last answer of a connection got
// none.
var errBehindLast = errors.New("it was sent behind the last answer of its connection")

// sendPipelined sends requests at once on one connection, and reads their answers in
// order.
func (c *callers) sendPipelined(target *process, count int) {
	connection, err := net.DialTimeout("tcp", target.at(portCaller), callerTimeout)
	if err != nil {
		c.fleet.report.count("no connection")
		return
	}
	defer connection.Close()
	if err := connection.SetDeadline(time.Now().Add(callerTimeout)); err != nil {
		c.fleet.report.count("no connection")
		return
	}
	var ids []string
	var sent strings.Builder
	for range count {
		id := c.nextID()
		ids = append(ids, id)
		c.fleet.report.sent(id, target.currentLife(), false)
		fmt.Fprintf(&sent, "GET /safe/%s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 2000\r\n\r\n", id, host, id)
	}
	// Where the daemon takes no more, the answers tell: it has closed the connection.
	_, _ = io.WriteString(connection, sent.String())
	answers := bufio.NewReader(connection)
	for number, id := range ids {
		response, got, err := readAnswer(answers)
		if err != nil {
			c.unanswered(target, ids[number:], err)
			return
		}
		c.fleet.report.answered(id, "/safe/"+id, response, got)
		if response.Close {
			c.unanswered(target, ids[number+1:], errBehindLast)
			return
		}
	}
}

func readAnswer(answers *bufio.Reader) (*http.Response, string, error) {
	response, err := http.ReadResponse(answers, nil)
	if err != nil {
		return nil, "", err
	}
	got, err := io.ReadAll(response.Body)
	return response, string(got), err
}

func (c *callers) unanswered(target *process, ids []string, err error) {
	for _, id := range ids {
		c.fleet.report.unanswered(id, "/safe/"+id, target.isStopping(), err)
	}
}
