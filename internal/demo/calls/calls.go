// Package calls runs the callers of one service, which open long feeds and short
// requests. It evaluates each by what its caller received and which runs the upstreams
// recorded.
package calls

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/clementinewing/clementinewing/internal/demo/score"
	"github.com/clementinewing/clementinewing/internal/fake/caller"
	"github.com/clementinewing/clementinewing/internal/fake/origin"
)

// Limits of the calls. A feed without a line for stallTimeout counts as broken.
const (
	stallTimeout   = 5 * time.Second
	requestTimeout = 20 * time.Second
	maxBodyBytes   = 4_000
)

// Service is one service under load.
type Service struct {
	Name    string
	Target  netip.AddrPort
	Callers []*caller.Caller
	Ledger  *origin.Ledger
	// Once means that a request must not run twice.
	Once bool
	// WasKilled reports whether the upstream with the given name was killed.
	WasKilled func(upstream string) bool
	// KilledSince reports whether any upstream was killed at or after the given time. A
	// flow that was open then and that no living upstream has run may have been at the
	// killed one.
	KilledSince func(at time.Time) bool
	Score       *score.Score
	// MinFeedDuration and MaxFeedDuration limit the time for which a feed is kept open.
	MinFeedDuration time.Duration
	MaxFeedDuration time.Duration
	next            atomic.Uint64
}

// Requests opens rate requests per second on average at random times until ctx ends. It
// returns once every request has ended.
func (s *Service) Requests(ctx context.Context, seed uint64, rate float64) {
	random := rand.New(rand.NewPCG(seed, 0))
	var w sync.WaitGroup
	for ctx.Err() == nil {
		wait := time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		size := random.IntN(maxBodyBytes)
		sleep(ctx, wait)
		w.Go(func() { s.request(size) })
	}
	w.Wait()
}

// Feeds keeps count feeds open until ctx ends. Each feed is replaced after a random time.
func (s *Service) Feeds(ctx context.Context, seed uint64, count int) {
	var w sync.WaitGroup
	for i := range count {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		w.Go(func() {
			sleep(ctx, time.Duration(random.Int64N(int64(time.Second))))
			for ctx.Err() == nil {
				length := s.MinFeedDuration + time.Duration(random.Int64N(int64(s.MaxFeedDuration-s.MinFeedDuration)))
				s.feed(ctx, length)
			}
		})
	}
	w.Wait()
}

func sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

// request sends one request and records its outcome.
func (s *Service) request(size int) {
	n := s.next.Add(1)
	id := fmt.Sprintf("%s-%d", s.Name, n)
	s.Score.Opened()
	opened := time.Now()
	var connected bool
	body, err := s.post(&connected, s.Callers[n%uint64(len(s.Callers))], id, size)
	runs := s.Ledger.Runs(id)
	whole := err == nil && strings.HasPrefix(body, s.Name+" ") && strings.HasSuffix(body, fmt.Sprintf(" %s %d\n", id, size))
	switch {
	case whole:
		s.Score.Finished()
	case isRefused(err):
		s.Score.Refused(len(runs) > 0)
	default:
		s.Score.Broken(s.causeOf(runs, opened), fmt.Sprintf("request %s: opened at %s, connected %v, run %d times, answer %q: %v",
			id, opened.Format(time.TimeOnly), connected, len(runs), body, err))
	}
	s.Score.RecordLedger(s.Once && len(runs) > 1, s.misrouted(runs), whole && len(runs) == 0)
}

func (s *Service) post(connected *bool, c *caller.Caller, id string, size int) (answer string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	url := fmt.Sprintf("http://%s%s?id=%s", s.Target, origin.RunPath, id)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { *connected = true },
	})
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(strings.Repeat("x", size)))
	if err != nil {
		return "", err
	}
	reply, err := c.Client().Do(r)
	if err != nil {
		return "", err
	}
	defer func() { err = errors.Join(err, reply.Body.Close()) }()
	body, err := io.ReadAll(reply.Body)
	return string(body), err
}

// isRefused reports whether the SYN was answered with a reset.
func isRefused(err error) bool {
	return err != nil && (errors.Is(err, syscall.ECONNREFUSED) || strings.Contains(err.Error(), "connection was refused"))
}

// causeOf attributes a broken request to its upstream only if that was killed. A request
// that was opened after the last kill is always attributed to the system.
func (s *Service) causeOf(runs []origin.Run, opened time.Time) score.Cause {
	if len(runs) == 0 && s.KilledSince(opened) {
		return score.DeadUpstream
	}
	for _, r := range runs {
		if s.WasKilled(r.Upstream) {
			return score.DeadUpstream
		}
	}
	return score.Planned
}

func (s *Service) misrouted(runs []origin.Run) bool {
	for _, r := range runs {
		if r.Service != s.Name {
			return true
		}
	}
	return false
}

// feed reads one feed for the given time and records its outcome.
func (s *Service) feed(ctx context.Context, length time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	s.Score.Opened()
	opened := time.Now()
	seen, err := s.readFeed(ctx)
	stalled := seen.upstream != "" && time.Since(seen.heardAt) > stallTimeout
	switch {
	case ctx.Err() != nil && !stalled:
		s.Score.Finished()
	case isRefused(err):
		s.Score.Refused(false)
		sleep(ctx, time.Second)
	case s.WasKilled(seen.upstream) || seen.upstream == "" && s.KilledSince(opened):
		s.Score.Broken(score.DeadUpstream, "")
	default:
		s.Score.Broken(score.Planned, fmt.Sprintf("feed of upstream %q, last line %s ago: %v",
			seen.upstream, time.Since(seen.heardAt).Round(time.Millisecond), err))
	}
}

// feedProgress is what a caller has received of a feed.
type feedProgress struct {
	upstream string
	// heardAt is the time of the last line.
	heardAt time.Time
}

// readFeed reads the lines of a feed until it ends.
func (s *Service) readFeed(ctx context.Context) (out feedProgress, err error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s%s", s.Target, origin.FeedPath), nil)
	if err != nil {
		return out, err
	}
	c := s.Callers[s.next.Add(1)%uint64(len(s.Callers))]
	reply, err := c.Client().Do(r)
	if err != nil {
		return out, err
	}
	defer func() { err = errors.Join(err, reply.Body.Close()) }()
	lines := bufio.NewScanner(reply.Body)
	for expected := 0; lines.Scan(); expected++ {
		out.upstream, err = s.checkFeedLine(lines.Text(), expected)
		if err != nil {
			return out, err
		}
		out.heardAt = time.Now()
	}
	return out, lines.Err()
}

// checkFeedLine checks one line of a feed and returns the upstream that sent it.
func (s *Service) checkFeedLine(text string, expected int) (upstream string, err error) {
	var service string
	var number int
	_, err = fmt.Sscanf(text, "%s %s %d", &service, &upstream, &number)
	if err == nil && service == s.Name && number == expected {
		return upstream, nil
	}
	s.Score.RecordLedger(false, service != s.Name, false)
	return upstream, fmt.Errorf("unexpected line %d of the feed: %q", expected, text)
}
