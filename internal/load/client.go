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

// Client simulates a caller behind a round-robin load balancer. It sends each
// request to the next entry node and skips nodes that refuse the connection or
// reply that they are not ready.
type Client struct {
	entries []string
	caller  string
	http    *http.Client
	// requests counts the requests, to select the next entry node.
	requests atomic.Uint64
}

// NewClient returns a client of entry nodes. The entries are the addresses at
// which the nodes serve callers; caller is the name that the client sends in the
// caller header.
func NewClient(entries []string, caller string) *Client {
	transport := &http.Transport{
		MaxIdleConns:        0,
		MaxIdleConnsPerHost: maxIdleConnsPerEntry,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
	return &Client{entries: entries, caller: caller, http: &http.Client{Transport: transport}}
}

// maxIdleConnsPerEntry is the maximum number of idle connections to one entry
// node.
const maxIdleConnsPerEntry = 1024

// Close closes the idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Reply is the outcome of one HTTP exchange. Problem is set for an error reply,
// Err if there is no valid reply. If both are nil, the answer was decoded.
type Reply struct {
	Problem *api.Problem
	Err     error
	// SentAt is when the last attempt of the request was sent.
	SentAt time.Time
}

// Search posts a search. It decodes the reply into answer if the search succeeds.
func (c *Client) Search(ctx context.Context, service, id string, request api.SearchRequest, deadline time.Duration, answer *api.SearchAnswer) Reply {
	header := c.header(id, deadline)
	return c.postToAnyEntry(ctx, "/v1/services/"+service+"/search", header, request, answer)
}

// Submit posts a non-idempotent request with an idempotency key. It decodes the
// reply into answer if the submit succeeds.
func (c *Client) Submit(ctx context.Context, service, id, key string, request api.SubmitRequest, deadline time.Duration, answer *api.SubmitAnswer) Reply {
	header := c.header(id, deadline)
	header.Set(api.HeaderIdempotencyKey, key)
	return c.postToAnyEntry(ctx, "/v1/services/"+service+"/submit", header, request, answer)
}

func (c *Client) header(id string, deadline time.Duration) http.Header {
	header := http.Header{}
	header.Set("Content-Type", "application/json")
	header.Set(api.HeaderRequestID, id)
	header.Set(api.HeaderCaller, c.caller)
	header.Set(api.HeaderDeadline, strconv.FormatInt(deadline.Milliseconds(), 10))
	return header
}

// postToAnyEntry tries the entry nodes in turn until one accepts the request. It
// doesn't send a request to another node if a node may have processed it.
func (c *Client) postToAnyEntry(ctx context.Context, path string, header http.Header, body, answer any) Reply {
	data, err := json.Marshal(body)
	if err != nil {
		return Reply{Err: fmt.Errorf("encode request: %w", err)}
	}
	first := c.requests.Add(1)
	var reply Reply
	for i := range uint64(len(c.entries)) {
		entry := c.entries[(first+i)%uint64(len(c.entries))]
		reply = c.post(ctx, "http://"+entry+path, header, data, answer)
		if !notProcessed(reply) {
			return reply
		}
	}
	return reply
}

// notProcessed reports whether it is certain that the node didn't process the
// request: it replied that it is not ready, or connecting to it failed.
func notProcessed(reply Reply) bool {
	if reply.Problem != nil {
		return reply.Problem.Code == api.CodeNotReady
	}
	var op *net.OpError
	return errors.As(reply.Err, &op) && op.Op == "dial"
}

func (c *Client) post(ctx context.Context, url string, header http.Header, data []byte, answer any) Reply {
	reply := Reply{SentAt: time.Now()}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
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
	reply.Problem, reply.Err = decodeReply(response, answer)
	return reply
}

// decodeReply decodes the body of a response into answer if the status is 200, and
// into a problem otherwise. It returns an error if the body is truncated or
// invalid.
func decodeReply(response *http.Response, answer any) (*api.Problem, error) {
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, fmt.Errorf("read reply: %w", err)
	}
	if response.StatusCode == http.StatusOK {
		return nil, decodeJSON(data, answer)
	}
	problem := &api.Problem{}
	if err := decodeJSON(data, problem); err != nil {
		return nil, fmt.Errorf("status %d: %w", response.StatusCode, err)
	}
	return problem, nil
}

func decodeJSON(data []byte, dst any) error {
	if err := json.Unmarshal(data, dst); err != nil {
		return fmt.Errorf("decode reply: %w", err)
	}
	return nil
}
