package council

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"chalkrack/internal/agreed"
)

// Client calls a council: whoever of its members leads. It may be used by several goroutines.
type Client struct {
	key []byte
	c   *http.Client

	at    map[string]string // addresses by name
	names []string

	mu   sync.Mutex
	next int    // of the names that is asked first
	lead string // the address of who led last; empty: nobody known
}

// retryEach is the least time between two tries of a call.
const retryEach = 50 * time.Millisecond

// NewClient is one of members at these addresses, by name, of which it asks the n-th first: clients
// are spread over the members by it.
func NewClient(key string, n int, at map[string]string) *Client {
	t := &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute}
	return &Client{key: []byte(key), c: &http.Client{Transport: t}, at: at, names: slices.Sorted(maps.Keys(at)), next: n}
}

// Close ends its idle connections.
func (c *Client) Close() { c.c.CloseIdleConnections() }

// first is whom to ask.
func (c *Client) first() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lead != "" {
		return c.lead
	}
	c.next++
	return c.at[c.names[c.next%len(c.names)]]
}

func (c *Client) led(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lead = addr
}

// do calls whoever leads, again and again until ctx ends: where no leader is known, where it has
// changed, where a member can't be reached. each is how long one try may take. A Refusal that
// another member would give too is the answer.
func (c *Client) do(ctx context.Context, path string, each time.Duration, with, v any) error {
	body, err := json.Marshal(with)
	if err != nil {
		return fmt.Errorf("council: %w", err)
	}
	var last error
	for {
		began := time.Now()
		addr := c.first()
		tryCtx, cancel := context.WithTimeout(ctx, each)
		text, err := call(tryCtx, c.c, c.key, addr, path, body)
		cancel()
		var no *Refusal
		switch {
		case err == nil:
			if path != "/v1/status" {
				c.led(addr)
			}
			if v == nil {
				return nil
			}
			if err := json.Unmarshal(text, v); err != nil {
				return fmt.Errorf("council: the answer of %s: %w", addr, err)
			}
			return nil
		case errors.As(err, &no) && no.Code == http.StatusMisdirectedRequest:
			name, addr, _ := strings.Cut(no.Leader, " ")
			c.led(cmp.Or(c.at[name], addr)) // by the way that this client has to it
			last = ErrNotLeader
		case errors.As(err, &no) && no.Code != http.StatusServiceUnavailable:
			return no
		default:
			c.led("")
			if last == nil || ctx.Err() == nil {
				last = err // a try that the call's own end has cut off hides nothing that was told before
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("council: no member that leads has answered: %w", errors.Join(ctx.Err(), last))
		case <-time.After(max(0, retryEach-time.Since(began))):
		}
	}
}

// Renew sends a sidecar's request; hold is how long the council may wait for news.
func (c *Client) Renew(ctx context.Context, r agreed.Request, hold time.Duration) (a agreed.Response, err error) {
	err = c.do(ctx, "/v1/renew", hold+waitMost, r, &a)
	return a, err
}

// Enter has an operator's entry agreed on. It may be sent again: a proposal by its key, the others
// by what they name.
func (c *Client) Enter(ctx context.Context, e agreed.Entry) (s Status, err error) {
	err = c.do(ctx, "/v1/entry", waitMost+time.Second, e, &s)
	return s, err
}

// Status is what the first member knows that answers.
func (c *Client) Status(ctx context.Context) (s Status, err error) {
	err = c.do(ctx, "/v1/status", time.Second, reading{}, &s)
	return s, err
}

// Sure is what the council knows: nothing that was agreed on before the call is missing.
func (c *Client) Sure(ctx context.Context) (s Status, err error) {
	err = c.do(ctx, "/v1/status", waitMost+time.Second, reading{Sure: true}, &s)
	return s, err
}

// Change adds or removes a member.
func (c *Client) Change(ctx context.Context, id uint64, p Peer, remove bool) (s Status, err error) {
	err = c.do(ctx, "/v1/members", waitMost+time.Second, change{Remove: remove, ID: id, Peer: p}, &s)
	return s, err
}
