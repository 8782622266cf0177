package pools

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"time"

	"chalkrack/internal/features"
	"chalkrack/internal/membership"
	"chalkrack/internal/pool"
)

// startFixed lists the fixed servers of a pool and starts their checks. coldFor is the time for which a
// server is cold.
func (s *serverPool) startFixed(ctx context.Context, c *Config, p *features.Pool, coldFor time.Duration) (err error) {
	var members []pool.Member
	for _, m := range p.Servers {
		members = append(members, pool.Member{Name: m.Name, Address: m.Address, Zone: m.Zone, Weight: m.Weight, Backup: m.Backup})
	}
	s.members, err = pool.New(members, pool.Checks{Interval: time.Duration(p.Checks.Interval), Rise: p.Checks.Rise, Fall: p.Checks.Fall})
	if err != nil {
		return err
	}
	if p.SlowStart == 0 {
		s.warmFor = coldFor
	}
	s.standby = s.members.NewStandby()
	s.applyList = c.register(p.Name, s.host, func(l *membership.List) { s.host.ApplyList(s.standby.Apply(l)) })
	s.applyList(s.listMembers())
	if p.Checks.Interval > 0 {
		for n, m := range members {
			// Spreads the first checks over the interval so that they don't come in a burst.
			first := time.Duration(p.Checks.Interval) * time.Duration(n) / time.Duration(len(members))
			s.wg.Go(func() { s.runChecks(ctx, m, first) })
		}
	}
	return nil
}

// listMembers returns the list of a pool's members by their checks. The caller holds s.mu.
func (s *serverPool) listMembers() *membership.List {
	l := s.members.List()
	for n := range l.Entries {
		if e := &l.Entries[n]; e.Started > 0 {
			e.Started = max(e.Started-s.warmFor, 1)
		}
	}
	return l
}

// runChecks checks one member periodically until ctx is done, and passes the list to host
// if the member's state changes. It opens one connection at a time.
func (s *serverPool) runChecks(ctx context.Context, m pool.Member, first time.Duration) {
	t := time.NewTimer(first)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		t.Reset(time.Duration(s.checks.Interval))
		err := checkOnce(ctx, m.Address, s.checks.Path, time.Duration(s.checks.Timeout))
		if ctx.Err() != nil {
			return
		}
		s.mu.Lock()
		if s.members.RecordResult(s.startUnix+time.Since(s.start), m.Name, err == nil) {
			slog.Info("checks", "pool", s.name, "server", m.Name, "up", err == nil, "err", err)
			s.applyList(s.listMembers()) // under the lock, to keep the lists in order
		}
		s.mu.Unlock()
	}
}

// maxCheckHeadBytes bounds the head of an answer to a check: the parser takes many times its bytes.
const maxCheckHeadBytes = 8 << 10

// checkOnce makes one check within the timeout wait: a TCP connection if path is empty, else
// a GET that has to be answered with a 2xx or 3xx status.
func checkOnce(ctx context.Context, addr, path string, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	if path == "" {
		c, err := new(net.Dialer).DialContext(ctx, "tcp", addr)
		if err == nil {
			c.Close()
		}
		return err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return err
	}
	t := &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: maxCheckHeadBytes}
	resp, err := t.RoundTrip(r)
	if err != nil {
		return err
	}
	io.CopyN(io.Discard, resp.Body, 64<<10)
	resp.Body.Close()
	if resp.StatusCode < 200 || resp.StatusCode > 399 {
		return fmt.Errorf("check answered with status %d, expected 200 to 399", resp.StatusCode)
	}
	return nil
}
