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

// maxPipelined is the maximum number of requests that a caller pipelines on one connection.
const maxPipelined = 8

// errAfterLastResponse is the reason why a request that was pipelined after the last response of its
// connection got no response.
var errAfterLastResponse = errors.New("request was pipelined after the last response of its connection")

// sendPipelined sends several requests at once on one connection, and reads the responses
// in order.
func (c *callers) sendPipelined(target *process, count int) {
	connection, err := net.DialTimeout("tcp", target.addr(portCaller), callerTimeout)
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
	var requests strings.Builder
	for range count {
		id := c.nextID()
		ids = append(ids, id)
		c.fleet.report.recordSent(id, target.incarnationName(), false)
		fmt.Fprintf(&requests, "GET /safe/%s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 2000\r\nAuthorization: %s\r\n\r\n", id, host, id, authorization(id))
	}
	// If the daemon has closed the connection, reading the responses shows it.
	_, _ = io.WriteString(connection, requests.String())
	responses := bufio.NewReader(connection)
	for number, id := range ids {
		response, responseBody, err := readResponse(responses)
		if err != nil {
			c.recordNoResponses(target, ids[number:], err)
			return
		}
		c.fleet.report.recordResponse(id, "/safe/"+id, response, responseBody)
		if response.Close {
			c.recordNoResponses(target, ids[number+1:], errAfterLastResponse)
			return
		}
	}
}

func readResponse(responses *bufio.Reader) (*http.Response, string, error) {
	response, err := http.ReadResponse(responses, nil)
	if err != nil {
		return nil, "", err
	}
	responseBody, err := io.ReadAll(response.Body)
	return response, string(responseBody), err
}

func (c *callers) recordNoResponses(target *process, ids []string, err error) {
	for _, id := range ids {
		c.fleet.report.recordNoResponse(id, "/safe/"+id, target.isStopping(), err)
	}
}
