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

// CallError is an error returned by a daemon.
type CallError struct {
	Kind    ErrorKind
	Message string
}

// Error returns the daemon's message.
func (e *CallError) Error() string {
	return string(e.Kind) + ": " + e.Message
}

// Client calls the interface of a daemon.
type Client struct {
	base   string
	client *http.Client
}

// NewClient returns a client for the daemon at a base URL.
func NewClient(base string) *Client {
	return &Client{base: base, client: &http.Client{}}
}

// Apply requests a change. After an error that is not a *CallError, it is unknown
// whether the change was made; repeating the call with the same id is safe.
func (c *Client) Apply(ctx context.Context, request ApplyRequest) (ApplyResponse, error) {
	var response ApplyResponse
	err := c.call(ctx, http.MethodPost, PathApply, request, &response)
	return response, err
}

// Document returns the configuration in force at the daemon.
func (c *Client) Document(ctx context.Context) (config.Document, error) {
	var document config.Document
	err := c.call(ctx, http.MethodGet, PathDocument, nil, &document)
	return document, err
}

// Status returns the state of the daemon and the revision in force at every member.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var status Status
	err := c.call(ctx, http.MethodGet, PathStatus, nil, &status)
	return status, err
}

// Services returns the state of all services at the daemon.
func (c *Client) Services(ctx context.Context) ([]ServiceStatus, error) {
	var services []ServiceStatus
	err := c.call(ctx, http.MethodGet, PathServices, nil, &services)
	return services, err
}

func (c *Client) call(ctx context.Context, method, path string, body, target any) error {
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
		return errors.Annotate(err, "building the request to the daemon")
	}
	response, err := c.client.Do(request)
	if err != nil {
		return errors.Annotate(err, "calling the daemon")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return readError(response)
	}
	return errors.Annotate(json.NewDecoder(response.Body).Decode(target), "decoding the daemon's response")
}

func readError(response *http.Response) error {
	var body ErrorResponse
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil {
		return errors.Errorf("daemon responded with status %s", response.Status)
	}
	return &CallError{Kind: body.Kind, Message: body.Message}
}
