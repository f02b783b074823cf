package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"wigeonbay/internal/api"
)

// Client is a caller behind a balancer: it sends each request to the next of
// the entry nodes and leaves out those that refuse connections or say that
// they are not ready.
type Client struct {
	entries []string
	caller  string
	http    *http.Client
	next    atomic.Uint64
}

// NewClient returns a client of the entry nodes at the given callers'
// addresses.
func NewClient(entries []string, caller string) *Client {
	transport := &http.Transport{
		MaxIdleConns:        0,
		MaxIdleConnsPerHost: maxIdlePerEntry,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
	return &Client{entries: entries, caller: caller, http: &http.Client{Transport: transport}}
}

// maxIdlePerEntry is the number of idle connections kept to one entry node.
const maxIdlePerEntry = 1024

// Close closes the idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Reply is the outcome of one HTTP exchange: exactly one of Problem, and a
// decoded body, or Err for a broken or missing reply.
type Reply struct {
	Problem *api.Problem
	// Err tells that no whole reply came.
	Err error
	// SentAt is when the request was sent to the node that replied.
	SentAt time.Time
}

// Search posts a search; answer is filled when the reply has no problem.
func (c *Client) Search(ctx context.Context, service, id string, request api.SearchRequest, deadline time.Duration, answer *api.SearchAnswer) Reply {
	header := c.header(id, deadline)
	return c.balance(ctx, "/v1/services/"+service+"/search", header, request, answer)
}

// Submit posts a non-idempotent request under a key; answer is filled when the
// reply has no problem.
func (c *Client) Submit(ctx context.Context, service, id, key string, request api.SubmitRequest, deadline time.Duration, answer *api.SubmitAnswer) Reply {
	header := c.header(id, deadline)
	header.Set(api.HeaderIdempotencyKey, key)
	return c.balance(ctx, "/v1/services/"+service+"/submit", header, request, answer)
}

func (c *Client) header(id string, deadline time.Duration) http.Header {
	header := http.Header{}
	header.Set("Content-Type", "application/json")
	header.Set(api.HeaderRequestID, id)
	header.Set(api.HeaderCaller, c.caller)
	header.Set(api.HeaderDeadline, strconv.FormatInt(deadline.Milliseconds(), 10))
	return header
}

// balance tries the entry nodes in turn until one takes the request. A request
// that may have reached a node is not sent to another.
func (c *Client) balance(ctx context.Context, path string, header http.Header, body, answer any) Reply {
	text, err := json.Marshal(body)
	if err != nil {
		return Reply{Err: fmt.Errorf("encode request: %w", err)}
	}
	first := c.next.Add(1)
	var reply Reply
	for i := range uint64(len(c.entries)) {
		entry := c.entries[(first+i)%uint64(len(c.entries))]
		reply = c.post(ctx, "http://"+entry+path, header, text, answer)
		if !turnedAway(reply) {
			return reply
		}
	}
	return reply
}

// turnedAway reports whether a node certainly did nothing with the request.
func turnedAway(reply Reply) bool {
	if reply.Problem != nil {
		return reply.Problem.Code == api.CodeNotReady
	}
	var op *net.OpError
	return errors.As(reply.Err, &op) && op.Op == "dial"
}

func (c *Client) post(ctx context.Context, url string, header http.Header, text []byte, answer any) Reply {
	reply := Reply{SentAt: time.Now()}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(text))
	if err != nil {
		reply.Err = err
		return reply
	}
	request.Header = header
	response, err := c.http.Do(request)
	if err != nil {
		reply.Err = err
		return reply
	}
	defer response.Body.Close()
	reply.Problem, reply.Err = read(response, answer)
	return reply
}

// read decodes an answer or a problem. A body that ends early is an error.
func read(response *http.Response, answer any) (*api.Problem, error) {
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, fmt.Errorf("read reply: %w", err)
	}
	if response.StatusCode == http.StatusOK {
		return nil, decodeJSON(text, answer)
	}
	problem := &api.Problem{}
	if err := decodeJSON(text, problem); err != nil {
		return nil, fmt.Errorf("status %d: %w", response.StatusCode, err)
	}
	return problem, nil
}

func decodeJSON(text []byte, into any) error {
	if err := json.Unmarshal(text, into); err != nil {
		return fmt.Errorf("decode reply: %w", err)
	}
	return nil
}
