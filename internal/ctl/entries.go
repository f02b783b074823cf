package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"wigeonbay/internal/api"
	"wigeonbay/internal/settings"
)

// maxResponseBytes bounds the response body read from an entry node.
const maxResponseBytes = 64 << 20

// entryClient sends HTTP requests to the operators' addresses of entry nodes.
type entryClient struct {
	http   *http.Client
	scheme string
	nodes  []settings.EntryAddress
}

func newEntryClient(s *settings.Ctl) (*entryClient, error) {
	client, scheme, err := newHTTPClient(s.TLS)
	if err != nil {
		return nil, err
	}
	return &entryClient{http: client, scheme: scheme, nodes: s.Entries}, nil
}

// problemError is an error response of an entry node with problem details. It means
// that the node is reachable.
type problemError struct {
	node    string
	problem api.Problem
}

// Error implements error.
func (e *problemError) Error() string {
	return fmt.Sprintf("entry node %s: %s: %s", e.node, e.problem.Code, e.problem.Detail)
}

func (e *entryClient) status(ctx context.Context, node settings.EntryAddress) (*api.EntryStatus, error) {
	status := &api.EntryStatus{}
	return status, e.get(ctx, node, "/v1/status", nil, status)
}

// explain queries the nodes in turn until one responds, decodes the response into
// dst and returns the node's id. A problem response also ends the search.
func (e *entryClient) explain(ctx context.Context, query url.Values, dst any) (string, error) {
	lastErr := errors.New("no entry node is configured")
	for _, node := range e.nodes {
		err := e.get(ctx, node, "/v1/explain", query, dst)
		var refused *problemError
		if err == nil || errors.As(err, &refused) {
			return node.ID, err
		}
		lastErr = err
	}
	return "", lastErr
}

func (e *entryClient) get(ctx context.Context, node settings.EntryAddress, path string, query url.Values, dst any) error {
	requestURL := url.URL{Scheme: e.scheme, Host: node.Operators, Path: path, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, requestURL.String(), nil)
	if err != nil {
		return fmt.Errorf("entry node %s: %w", node.ID, err)
	}
	response, err := e.http.Do(request)
	if err != nil {
		return fmt.Errorf("entry node %s: %w", node.ID, err)
	}
	defer func() { _ = response.Body.Close() }()
	body := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes))
	if response.StatusCode == http.StatusOK {
		return wrapDecodeError(node, body.Decode(dst))
	}
	refused := &problemError{node: node.ID}
	if err := body.Decode(&refused.problem); err != nil {
		return fmt.Errorf("entry node %s: status %s without problem details", node.ID, response.Status)
	}
	return refused
}

func wrapDecodeError(node settings.EntryAddress, err error) error {
	if err != nil {
		return fmt.Errorf("entry node %s: decode response: %w", node.ID, err)
	}
	return nil
}
