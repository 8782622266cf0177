package consensus

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

	"chalkrack/internal/agreement"
)

// Client calls the leader of a council. It is safe for concurrent use.
type Client struct {
	key        []byte
	httpClient *http.Client

	addrs map[string]string // addresses by member name
	names []string

	mu         sync.Mutex
	next       int    // index, modulo len(names), of the member last tried while no leader was known
	leaderAddr string // address of the last known leader; empty: none
}

// minRetryInterval is the minimum time between the starts of two tries of one call.
const minRetryInterval = 50 * time.Millisecond

// NewClient returns a client of the members at the given addresses, by member name. Different
// values of first spread the clients' first calls over the members.
func NewClient(key string, first int, addrs map[string]string) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute}
	return &Client{key: []byte(key), httpClient: &http.Client{Transport: transport}, addrs: addrs, names: slices.Sorted(maps.Keys(addrs)), next: first}
}

// Close closes the idle connections of the client.
func (c *Client) Close() { c.httpClient.CloseIdleConnections() }

// nextAddr returns the address to call next: the leader's if it is known, else the next member's.
func (c *Client) nextAddr() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaderAddr != "" {
		return c.leaderAddr
	}
	c.next++
	return c.addrs[c.names[c.next%len(c.names)]]
}

// setLeader sets the leader's address; empty: not known.
func (c *Client) setLeader(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaderAddr = addr
}

// callLeader posts request to the leader and decodes the response into response, unless that is
// nil. While no leader is known, the leader has changed or a member can't be reached, it tries
// again until ctx ends; tryTimeout is the timeout of one try. A Refusal that any member would give
// is returned at once.
func (c *Client) callLeader(ctx context.Context, path string, tryTimeout time.Duration, request, response any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return fmt.Errorf("council: %w", err)
	}
	var lastErr error
	for {
		began := time.Now()
		addr := c.nextAddr()
		tryCtx, cancel := context.WithTimeout(ctx, tryTimeout)
		text, err := postRequest(tryCtx, c.httpClient, c.key, addr, path, body)
		cancel()
		var refusal *Refusal
		switch {
		case err == nil:
			if path != "/v1/status" {
				c.setLeader(addr)
			}
			if response == nil {
				return nil
			}
			if err := json.Unmarshal(text, response); err != nil {
				return fmt.Errorf("council: decode the response of %s: %w", addr, err)
			}
			return nil
		case errors.As(err, &refusal) && refusal.Code == http.StatusMisdirectedRequest:
			name, addr, _ := strings.Cut(refusal.Leader, " ")
			c.setLeader(cmp.Or(c.addrs[name], addr)) // this client's own address for the member takes precedence
			lastErr = ErrNotLeader
		case errors.As(err, &refusal) && refusal.Code != http.StatusServiceUnavailable:
			return refusal
		default:
			c.setLeader("")
			if lastErr == nil || ctx.Err() == nil {
				lastErr = err // a try cut off by the end of ctx must not hide an earlier, more specific error
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("council: no response from a leader: %w", errors.Join(ctx.Err(), lastErr))
		case <-time.After(max(0, minRetryInterval-time.Since(began))):
		}
	}
}

// Renew sends a sidecar's request. The council may delay the response for up to hold while there
// is nothing new to report.
func (c *Client) Renew(ctx context.Context, request agreement.Request, hold time.Duration) (response agreement.Response, err error) {
	err = c.callLeader(ctx, "/v1/renew", hold+commitTimeout, request, &response)
	return response, err
}

// Apply submits an operator's entry to the log and returns the status after it was applied. It may
// be repeated safely: a proposal is identified by its key, other entries by the version or sidecar
// that they name.
func (c *Client) Apply(ctx context.Context, e agreement.Entry) (status Status, err error) {
	err = c.callLeader(ctx, "/v1/entry", commitTimeout+time.Second, e, &status)
	return status, err
}

// Status returns the status of the first member that responds, which may be out of date.
func (c *Client) Status(ctx context.Context) (status Status, err error) {
	err = c.callLeader(ctx, "/v1/status", time.Second, statusRequest{}, &status)
	return status, err
}

// ConfirmedStatus returns the leader's status after a linearizable read: it includes everything
// that was committed before the call.
func (c *Client) ConfirmedStatus(ctx context.Context) (status Status, err error) {
	err = c.callLeader(ctx, "/v1/status", commitTimeout+time.Second, statusRequest{Confirmed: true}, &status)
	return status, err
}

// ChangeMember proposes to add or remove a member, as Member.ProposeMemberChange does.
func (c *Client) ChangeMember(ctx context.Context, id uint64, endpoint Endpoint, remove bool) (status Status, err error) {
	err = c.callLeader(ctx, "/v1/members", commitTimeout+time.Second, memberChange{Remove: remove, ID: id, Endpoint: endpoint}, &status)
	return status, err
}
