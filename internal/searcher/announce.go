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

// Times of announcing.
const (
	// renewalsPerLease is how often an announcement is renewed in a lease, so
	// that two lost renewals in a row do not end it.
	renewalsPerLease = 3
	// announceTimeout bounds one attempt with one entry node.
	announceTimeout = time.Second
	// announceRetry passes before another round when no entry node answered.
	announceRetry = 250 * time.Millisecond
)

// announcer posts the searcher's announcements to the entry nodes in turn.
type announcer struct {
	searcher *Searcher
	client   *http.Client
	changed  chan struct{}
	cancel   context.CancelFunc
	done     chan struct{}
	once     sync.Once
	next     int
	failing  bool
}

func newAnnouncer(s *Searcher) *announcer {
	client := s.cfg.Client
	if client == nil {
		client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute}}
	}
	return &announcer{
		searcher: s,
		client:   client,
		changed:  make(chan struct{}, 1),
		done:     make(chan struct{}),
		next:     int(s.cfg.Seed % uint64(max(1, len(s.cfg.Entries)))),
	}
}

func (a *announcer) start() {
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	go a.run(ctx)
}

// kick makes the announcer tell the present state at once.
func (a *announcer) kick() {
	select {
	case a.changed <- struct{}{}:
	default:
	}
}

// stop ends the renewals and tells the present state one last time.
func (a *announcer) stop(ctx context.Context) {
	a.abort()
	_, _ = a.tell(ctx)
}

// abort ends the renewals and says nothing more.
func (a *announcer) abort() {
	a.once.Do(func() {
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
		wait, err := a.tell(ctx)
		if ctx.Err() != nil {
			return
		}
		a.note(err)
		timer := time.NewTimer(wait)
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

// note logs the first failure of a row.
func (a *announcer) note(err error) {
	if err != nil && !a.failing {
		telemetry.SearcherAnnounceFailed.Log(a.searcher.cfg.Logger, zap.String("target", string(a.searcher.cfg.Name)), zap.Error(err))
	}
	a.failing = err != nil
}

// tell posts the announcement to the next entry node, and on failure to the
// others, until one has taken it. It returns the time until the next renewal.
func (a *announcer) tell(ctx context.Context) (time.Duration, error) {
	announcement := a.searcher.announcement()
	renewal := a.searcher.cfg.Lease / renewalsPerLease
	errs := make([]error, 0, 1)
	for range a.searcher.cfg.Entries {
		entry := a.searcher.cfg.Entries[a.next]
		a.next = (a.next + 1) % len(a.searcher.cfg.Entries)
		reply, err := a.post(ctx, entry, announcement)
		if err == nil {
			return sooner(renewal, reply.RenewMS), nil
		}
		errs = append(errs, err)
	}
	if len(errs) > 0 {
		return min(renewal, announceRetry), errors.Join(errs...)
	}
	return renewal, nil
}

// sooner returns the entry node's wish for the next renewal, but never later
// than the searcher's own bound.
func sooner(own time.Duration, wishMS int64) time.Duration {
	if wish := time.Duration(wishMS) * time.Millisecond; wish > 0 && wish < own {
		return wish
	}
	return own
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
