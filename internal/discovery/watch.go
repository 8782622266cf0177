package discovery

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"chalkrack/internal/membership"
)

// Timing holds the timeouts and delays of a watch. WorstCaseDelay must stay below the time
// within which a change has to reach a sidecar.
type Timing struct {
	CallTimeout    time.Duration // limit for one call: connect, head of the answer and first list
	SilenceTimeout time.Duration // limit for the next list or empty line; the service sends an empty line every 2 s
	// The delay between two calls is drawn at random from half of a backoff to one and a half.
	// The backoff doubles from MinBackoff to MaxBackoff until a call brings a list.
	MinBackoff, MaxBackoff time.Duration
	MaxInitialDelay        time.Duration // the delay of the first call is drawn from 0 to MaxInitialDelay
}

// MaxChangeDelay is the time within which a change has to reach a sidecar, counted from when the discovery
// service had the change and could be reached.
const MaxChangeDelay = 6 * time.Second

var (
	// AgentTiming is the timing for an agent on the sidecar's own machine, which answers at once.
	AgentTiming = Timing{CallTimeout: 1600 * time.Millisecond, SilenceTimeout: 2700 * time.Millisecond, MinBackoff: 20 * time.Millisecond, MaxBackoff: 500 * time.Millisecond}
	// SharedServiceTiming is the timing for one service that all sidecars share. It serves calls in turn and
	// rejects calls that have waited for 2 s. The longer backoff and the spread keep a fleet
	// that has lost the service from calling it all at once.
	SharedServiceTiming = Timing{CallTimeout: 2400 * time.Millisecond, SilenceTimeout: 2700 * time.Millisecond, MinBackoff: 260 * time.Millisecond, MaxBackoff: 500 * time.Millisecond, MaxInitialDelay: 2 * time.Second}
)

// WorstCaseDelay returns the longest time that a change can take to reach the sidecar while the discovery
// service has it and can be reached.
func (t Timing) WorstCaseDelay() time.Duration {
	afterSilence := t.SilenceTimeout + t.MinBackoff*3/2 + t.CallTimeout // an open watch dies without closing its connection
	afterReturn := t.CallTimeout + t.MaxBackoff*3/2 + t.CallTimeout     // the service returns while an earlier call hangs
	return max(afterSilence, afterReturn, t.MaxInitialDelay+t.CallTimeout)
}

// Watcher follows the list at an address. It owns the watch, its deadlines and the delay before
// the next watch. A change of address and Close interrupt each of them at once. The exported
// fields must be set before the watcher is started.
type Watcher struct {
	Addr    string // address of the next watch
	Timing  Timing
	Track   membership.ListTracker // state of the list already held at the start
	OnList  func(*membership.List)
	OnError func(error)
	// Dial opens a connection; nil means TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)

	mu     sync.Mutex
	moved  bool               // the address has changed since the last watch began
	closed bool               // Close was called
	cancel context.CancelFunc // cancels the current watch or the delay before it; nil before the first
}

// SetAddr interrupts the current watch and opens the next one at another address at once, because
// the old address may stay silent while its connection still stands. List versions of one
// address are meaningless at another, so the next watch requests the whole list.
func (w *Watcher) SetAddr(addr string) { w.cancelCurrent(func() { w.Addr, w.moved = addr, true }) }

// Follow moves the watcher from one address to another, as SetAddr does, if it is at the first one. It
// reports whether it was.
func (w *Watcher) Follow(from, to string) (moved bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || w.Addr != from || from == to {
		return false
	}
	w.Addr, w.moved = to, true
	if w.cancel != nil {
		w.cancel()
	}
	return true
}

// Close ends the current watch and stops the watcher.
func (w *Watcher) Close() { w.cancelCurrent(func() { w.closed = true }) }

func (w *Watcher) cancelCurrent(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
	if w.cancel != nil {
		w.cancel()
	}
}

// beginWatch returns the context of the next watch, including the delay before it, and the
// address to use. moved reports that the address has changed; ok is false after Close.
func (w *Watcher) beginWatch() (ctx context.Context, addr string, moved, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cancel != nil {
		w.cancel()
	}
	ctx, w.cancel = context.WithCancel(context.Background())
	if moved = w.moved; moved {
		w.moved, w.Track.Version = false, 0
	}
	return ctx, w.Addr, moved, !w.closed
}

// Run keeps a watch open until Close is called, and blocks until then. It hands on each list
// and reports each error that ends a watch.
func (w *Watcher) Run() {
	backoff, delay := w.Timing.MinBackoff, rand.N(w.Timing.MaxInitialDelay+1)
	for {
		ctx, addr, moved, ok := w.beginWatch()
		if !ok {
			return
		}
		if moved {
			backoff, delay = w.Timing.MinBackoff, 0
		}
		if !sleep(ctx, delay) {
			continue
		}
		listed, err := w.watch(ctx, addr)
		if ctx.Err() != nil { // interrupted by a new address or by Close, which is no failure
			continue
		}
		w.OnError(err)
		if listed {
			backoff = w.Timing.MinBackoff
		}
		delay = backoff/2 + rand.N(backoff+1)
		backoff = min(2*backoff, w.Timing.MaxBackoff)
	}
}

// sleep waits for delay. It returns false if ctx ended the wait.
func sleep(ctx context.Context, delay time.Duration) bool {
	if delay <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

func (w *Watcher) dial(ctx context.Context, addr string) (net.Conn, error) {
	if w.Dial != nil {
		return w.Dial(ctx, addr)
	}
	d := net.Dialer{KeepAlive: -1}
	return d.DialContext(ctx, "tcp", addr)
}

// watch opens one watch and hands on its lists until it ends. listed reports whether it brought
// a list that was used.
func (w *Watcher) watch(ctx context.Context, addr string) (listed bool, err error) {
	deadline := time.Now().Add(w.Timing.CallTimeout)
	dialCtx, cancelDial := context.WithDeadline(ctx, deadline)
	conn, err := w.dial(dialCtx, addr)
	cancelDial()
	if err != nil {
		return false, fmt.Errorf("discovery: %w", err)
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	path := "/catalog/members?watch=1"
	if w.Track.Version > 0 {
		path += fmt.Sprintf("&after=%d", w.Track.Version)
	}
	conn.SetDeadline(deadline)
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: discovery\r\n\r\n", path); err != nil {
		return false, fmt.Errorf("discovery: %w", err)
	}
	limited := &limitedReader{r: conn, remaining: maxHeadBytes}
	resp, err := http.ReadResponse(bufio.NewReader(limited), nil)
	if err != nil {
		return false, fmt.Errorf("discovery: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return false, fmt.Errorf("discovery: unexpected status %s", resp.Status)
	}
	limited.remaining = -1
	extendDeadline := func() {
		if w.Track.Version > 0 { // without a held list, empty lines do not extend the deadline for the first one
			conn.SetDeadline(time.Now().Add(w.Timing.SilenceTimeout))
		}
	}
	lists := newListReader(resp.Body, extendDeadline)
	for {
		text, err := lists.next()
		if err == nil {
			err = w.handleList(text)
		} else if errors.As(err, new(*json.SyntaxError)) {
			w.Track.Version = 0 // the text after the last list is invalid, so the next watch cannot continue from it
		}
		if err != nil {
			return listed, err
		}
		listed = true
		extendDeadline()
	}
}

// limitedReader returns an error after remaining bytes; a negative value disables the limit. It
// bounds the head of the answer, which the HTTP parser holds in memory completely.
type limitedReader struct {
	r         io.Reader
	remaining int64
}

func (c *limitedReader) Read(b []byte) (int, error) {
	switch {
	case c.remaining < 0:
		return c.r.Read(b)
	case c.remaining == 0:
		return 0, errHeadTooLong
	}
	n, err := c.r.Read(b[:min(int64(len(b)), c.remaining)])
	c.remaining -= int64(n)
	return n, err
}

// handleList parses a list and hands it on. If the list is invalid or cannot be used, the list
// held stays in use and the next watch requests the whole list.
func (w *Watcher) handleList(text []byte) error {
	list, err := Parse(text)
	if err != nil {
		w.Track.Version = 0
		return err
	}
	if err := w.Track.Accept(list); err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	w.OnList(list)
	return nil
}
