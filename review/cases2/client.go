package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// attempt is one client attempt and its answer.
type attempt struct {
	id     string
	entry  *machine
	sentAt time.Time
	status int // 0 for none
	err    error
	stamp  string
	body   string
	retry  string
}

// send makes one client attempt on a new connection.
func send(c *cluster, m *machine, method, path, key string, deadline time.Duration) attempt {
	a := attempt{id: fmt.Sprintf("%016x", rand.Uint64()), entry: m, sentAt: time.Now()}
	client := &http.Client{Timeout: deadline + 500*time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	request, err := http.NewRequest(method, "http://"+c.frontOf(m)+path, nil)
	if err != nil {
		a.err = err
		return a
	}
	request.Host = "leno12.example"
	request.Header.Set("X-Request-Id", a.id)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	c.rec.add("sent %s %s %s to %s", a.id, method, path, m.name)
	response, err := client.Do(request)
	if err != nil {
		a.err = err
		c.rec.add("no answer to %s from %s", a.id, m.name)
		return a
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	a.status, a.body, a.err = response.StatusCode, string(body), err
	a.stamp, a.retry = response.Header.Get("X-Server-Stamp"), response.Header.Get("Retry-After")
	c.rec.add("answer to %s from %s: %d, stamp %q, Retry-After %q, %d bytes", a.id, m.name, a.status, a.stamp, a.retry, len(body))
	return a
}
