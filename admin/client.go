package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/juju/errors"

	"github.com/tuliphall/tuliphall/config"
)

// CallError is an answer with which a daemon refused a command.
type CallError struct {
	Kind    ErrorKind
	Message string
}

// Error returns the daemon's message.
func (e *CallError) Error() string {
	return string(e.Kind) + ": " + e.Message
}

// Client calls a daemon's interface.
type Client struct {
	base   string
	client *http.Client
}

// NewClient returns a client for the daemon whose interface is at base (a URL).
func NewClient(base string) *Client {
	return &Client{base: base, client: &http.Client{}}
}

// Apply asks for a change. An error that is not a *CallError leaves open
// whether the change was made; asking again with the same id settles it.
func (c *Client) Apply(ctx context.Context, request ApplyRequest) (ApplyResponse, error) {
	var response ApplyResponse
	err := c.call(ctx, http.MethodPost, PathApply, request, &response)
	return response, err
}

// Document returns the document in force at the daemon.
func (c *Client) Document(ctx context.Context) (config.Document, error) {
	var document config.Document
	err := c.call(ctx, http.MethodGet, PathDocument, nil, &document)
	return document, err
}

// Status returns what every daemon has in force.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var status Status
	err := c.call(ctx, http.MethodGet, PathStatus, nil, &status)
	return status, err
}

// Services returns what the daemon knows of its services.
func (c *Client) Services(ctx context.Context) ([]ServiceStatus, error) {
	var services []ServiceStatus
	err := c.call(ctx, http.MethodGet, PathServices, nil, &services)
	return services, err
}

func (c *Client) call(ctx context.Context, method, path string, body, into any) error {
	var payload io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return errors.Annotate(err, "encoding the command")
		}
		payload = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, payload)
	if err != nil {
		return errors.Annotate(err, "daemon address")
	}
	response, err := c.client.Do(request)
	if err != nil {
		return errors.Annotate(err, "calling the daemon")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return readError(response)
	}
	return errors.Annotate(json.NewDecoder(response.Body).Decode(into), "reading the daemon's answer")
}

func readError(response *http.Response) error {
	var refused ErrorResponse
	if err := json.NewDecoder(response.Body).Decode(&refused); err != nil {
		return errors.Errorf("the daemon answered %s", response.Status)
	}
	return &CallError{Kind: refused.Kind, Message: refused.Message}
}
