package objectstore

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/tuliphall/tuliphall/framing"
	"github.com/tuliphall/tuliphall/network"
)

// Paths, headers and query parameters of the object API over HTTP.
const (
	ObjectsPath   = "/v1/objects/"
	MachinesPath  = "/v1/machines"
	HeaderVersion = "Object-Version"
	HeaderExpect  = "If-Object-Version"
	HeaderCaller  = "Platform-Caller"
	HeaderEra     = "Store-Era"
	ParamAfter    = "after"
	ParamWait     = "wait"
)

// Client is an HTTP client of the object API and the machine list.
type Client struct {
	base   string
	caller string
	client *http.Client
	eras   EraTracker
}

// MaxHeadBytes bounds the head of a response of the store.
const MaxHeadBytes = 32 << 10

// NewClient returns a client for the platform at the URL base. caller identifies
// this process in the platform's request counts.
func NewClient(dialer network.Network, base, caller string) *Client {
	transport := &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return dialer.Dial(ctx, address)
		},
		IdleConnTimeout: idleTimeout, MaxResponseHeaderBytes: MaxHeadBytes,
	}
	return &Client{base: base, caller: caller, client: &http.Client{Transport: transport}}
}

// idleTimeout is the time after which unused connections to the platform are closed.
const idleTimeout = 30 * time.Second

// Close closes unused connections.
func (c *Client) Close() {
	c.client.CloseIdleConnections()
}

// SetLogger sets the logger for new eras of the store.
func (c *Client) SetLogger(log *slog.Logger) {
	c.eras.SetLogger(log)
}

// Era implements Store.
func (c *Client) Era() uint64 {
	return c.eras.Latest()
}

// ObserveEra implements Store.
func (c *Client) ObserveEra(era uint64) {
	c.eras.ObserveEra(era)
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key Key) (Object, error) {
	return c.read(ctx, key, "")
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, key Key, after Version, wait time.Duration) (Object, error) {
	query := url.Values{}
	query.Set(ParamAfter, strconv.FormatUint(uint64(after), 10))
	query.Set(ParamWait, wait.String())
	return c.read(ctx, key, "?"+query.Encode())
}

func (c *Client) read(ctx context.Context, key Key, query string) (Object, error) {
	response, body, err := c.do(ctx, http.MethodGet, objectPath(key)+query, nil, nil)
	if err != nil {
		return Object{}, err
	}
	version, err := responseVersion(response)
	if err != nil {
		return Object{}, err
	}
	return Object{Key: key, Version: version, Value: body}, nil
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, key Key, value []byte, expected Version) (Version, error) {
	if len(value) > MaxValueBytes {
		return 0, ErrTooLarge
	}
	response, _, err := c.do(ctx, http.MethodPut, objectPath(key), value, &expected)
	if err != nil {
		return 0, err
	}
	return responseVersion(response)
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key Key, expected Version) error {
	_, _, err := c.do(ctx, http.MethodDelete, objectPath(key), nil, &expected)
	return err
}

// listItem is one object in the response to a list call.
type listItem struct {
	Name    string  `json:"name"`
	Version Version `json:"version"`
	Value   []byte  `json:"value"`
}

// EncodeList writes the body of the response to a list call.
func EncodeList(w io.Writer, objects []Object) error {
	items := make([]listItem, 0, len(objects))
	for _, object := range objects {
		items = append(items, listItem{Name: object.Key.Name, Version: object.Version, Value: object.Value})
	}
	return json.NewEncoder(w).Encode(items)
}

// List implements Store.
func (c *Client) List(ctx context.Context, kind string) ([]Object, error) {
	_, body, err := c.do(ctx, http.MethodGet, ObjectsPath+url.PathEscape(kind), nil, nil)
	if err != nil {
		return nil, err
	}
	var items []listItem
	if err := json.Unmarshal(body, &items); err != nil {
		return nil, errors.Annotate(ErrUnavailable, "reading a list: "+err.Error())
	}
	objects := make([]Object, 0, len(items))
	for _, item := range items {
		objects = append(objects, Object{Key: Key{Kind: kind, Name: item.Name}, Version: item.Version, Value: item.Value})
	}
	return objects, nil
}

// Machines implements Machines.
func (c *Client) Machines(ctx context.Context) ([]Machine, error) {
	_, body, err := c.do(ctx, http.MethodGet, MachinesPath, nil, nil)
	if err != nil {
		return nil, err
	}
	var machines []Machine
	if err := json.Unmarshal(body, &machines); err != nil {
		return nil, errors.Annotate(ErrUnavailable, "decoding the machine list: "+err.Error())
	}
	return machines, nil
}

// do sends one request and maps the HTTP status of the response to one of the package's errors.
func (c *Client) do(ctx context.Context, method, path string, body []byte, expected *Version) (*http.Response, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, errors.Annotate(err, "platform address")
	}
	// If the transport resent a write, the conflict with the first attempt would hide that
	// the first one took effect. Without GetBody it cannot resend the body.
	request.GetBody = nil
	request.Header.Set(HeaderCaller, c.caller)
	if expected != nil {
		request.Header.Set(HeaderExpect, strconv.FormatUint(uint64(*expected), 10))
	}
	response, err := c.client.Do(request)
	if err != nil {
		return nil, nil, noResponse(ctx, err)
	}
	defer response.Body.Close()
	responseBody, err := io.ReadAll(io.LimitReader(response.Body, 4*MaxValueBytes))
	if err != nil {
		return nil, nil, noResponse(ctx, err)
	}
	if framing.EndsWithConnection(response) {
		// A value may hold any bytes, so that a part of one cannot be told from the whole.
		return nil, nil, noResponse(ctx, framing.ErrUnframed)
	}
	if _, err := c.eras.ObserveHeader(response.Header.Get(HeaderEra)); err != nil {
		return nil, nil, err
	}
	if err := statusError(response.StatusCode, responseBody); err != nil {
		return nil, nil, err
	}
	return response, responseBody, nil
}

func noResponse(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return errors.WithType(ctx.Err(), ErrOutcomeUnknown)
	}
	return errors.WithType(err, ErrOutcomeUnknown)
}

func statusError(status int, body []byte) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusPreconditionFailed:
		return ErrConflict
	case http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return errors.WithType(fmt.Errorf("platform answered %d: %s", status, bytes.TrimSpace(body)), ErrUnavailable)
	default:
		return errors.WithType(fmt.Errorf("platform answered %d: %s", status, bytes.TrimSpace(body)), ErrOutcomeUnknown)
	}
}

func objectPath(key Key) string {
	return ObjectsPath + url.PathEscape(key.Kind) + "/" + url.PathEscape(key.Name)
}

func responseVersion(response *http.Response) (Version, error) {
	number, err := strconv.ParseUint(response.Header.Get(HeaderVersion), 10, 64)
	if err != nil {
		return 0, errors.Annotate(ErrOutcomeUnknown, "answer without "+HeaderVersion)
	}
	return Version(number), nil
}
