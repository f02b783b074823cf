package searcher

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"wigeonbay/internal/api"
	"wigeonbay/internal/telemetry"

	"go.uber.org/zap"
)

// Timing of announcements.
const (
	// renewalsPerLease is the number of renewals in the time of one lease. With
	// three, a lease survives two consecutive lost renewals.
	renewalsPerLease = 3
	// announceTimeout limits one attempt to announce to one entry node.
	announceTimeout = time.Second
	// announceRetryDelay is the delay before the next attempt after every entry
	// node has failed.
	announceRetryDelay = 250 * time.Millisecond
)

// announcer posts the searcher's announcements to the entry nodes in rotation.
type announcer struct {
	searcher   *Searcher
	client     *http.Client
	changed    chan struct{}
	cancel     context.CancelFunc
	done       chan struct{}
	cancelOnce sync.Once
	nextEntry  int
	failing    bool
}

func newAnnouncer(s *Searcher) *announcer {
	client := s.cfg.Client
	if client == nil {
		client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute}}
	}
	return &announcer{
		searcher:  s,
		client:    client,
		changed:   make(chan struct{}, 1),
		done:      make(chan struct{}),
		nextEntry: int(s.cfg.Seed % uint64(max(1, len(s.cfg.Entries)))),
	}
}

func (a *announcer) start() {
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	go a.run(ctx)
}

// notify makes the announcer announce the current state without waiting for
// the next renewal.
func (a *announcer) notify() {
	select {
	case a.changed <- struct{}{}:
	default:
	}
}

// stop ends the renewals and announces the current state one last time.
func (a *announcer) stop(ctx context.Context) {
	a.abort()
	_, _ = a.announce(ctx)
}

// abort ends the renewals without a final announcement.
func (a *announcer) abort() {
	a.cancelOnce.Do(func() {
		if a.cancel == nil {
			close(a.done)
			return
		}
		a.cancel()
	})
	<-a.done
}

func (a *announcer) run(ctx context.Context) {
	defer close(a.done)
	for {
		delay, err := a.announce(ctx)
		if ctx.Err() != nil {
			return
		}
		a.logFirstFailure(err)
		timer := time.NewTimer(delay)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-a.changed:
			timer.Stop()
		case <-timer.C:
		}
	}
}

// logFirstFailure logs an error unless the previous attempt failed too.
func (a *announcer) logFirstFailure(err error) {
	if err != nil && !a.failing {
		telemetry.SearcherAnnounceFailed.Log(a.searcher.cfg.Logger, zap.String("target", string(a.searcher.cfg.Name)), zap.Error(err))
	}
	a.failing = err != nil
}

// announce posts the announcement to the next entry node and, if that fails, to
// the others in turn until one accepts it. It returns the time until the next
// renewal or retry.
func (a *announcer) announce(ctx context.Context) (time.Duration, error) {
	announcement := a.searcher.announcement()
	renewal := a.searcher.cfg.Lease / renewalsPerLease
	errs := make([]error, 0, 1)
	for range a.searcher.cfg.Entries {
		entry := a.searcher.cfg.Entries[a.nextEntry]
		a.nextEntry = (a.nextEntry + 1) % len(a.searcher.cfg.Entries)
		reply, err := a.post(ctx, entry, announcement)
		if err == nil {
			return renewalInterval(renewal, reply.RenewMS), nil
		}
		errs = append(errs, err)
	}
	if len(errs) > 0 {
		return min(renewal, announceRetryDelay), errors.Join(errs...)
	}
	return renewal, nil
}

// renewalInterval returns the renewal interval that the entry node requests,
// limited to longest. Without a request it returns longest.
func renewalInterval(longest time.Duration, requestedMS int64) time.Duration {
	if requested := time.Duration(requestedMS) * time.Millisecond; requested > 0 && requested < longest {
		return requested
	}
	return longest
}

func (a *announcer) post(ctx context.Context, entry string, announcement api.Announcement) (api.AnnounceReply, error) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	body, err := json.Marshal(announcement)
	if err != nil {
		return api.AnnounceReply{}, fmt.Errorf("encode announcement: %w", err)
	}
	url := "http://" + entry + "/v1/targets/announce"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return api.AnnounceReply{}, fmt.Errorf("announce to %s: %w", entry, err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := a.client.Do(request)
	if err != nil {
		return api.AnnounceReply{}, fmt.Errorf("announce to %s: %w", entry, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return api.AnnounceReply{}, fmt.Errorf("announce to %s: status %d", entry, response.StatusCode)
	}
	var reply api.AnnounceReply
	err = json.NewDecoder(response.Body).Decode(&reply)
	return reply, err
}
