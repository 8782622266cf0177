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

// Timing bounds what a watch waits for. What discovery has and could tell counts as told
// after Told, so that Worst has to stay under that.
type Timing struct {
	Call    time.Duration // for a call: to connect, the head of the answer, the first list
	Silence time.Duration // for the next list or empty line; an empty one comes every 2 s
	// The wait between two calls is drawn from half of a backoff to one and a half; the
	// backoff doubles from BackoffMin to BackoffMax, until a call brings a list.
	BackoffMin, BackoffMax time.Duration
	Spread                 time.Duration // the first call is drawn from so long
}

// Told is when a change counts as told to a sidecar, counted from when discovery had it and
// could be reached.
const Told = 6 * time.Second

var (
	// Pushed is for an agent on the sidecar's own machine, which answers at once.
	Pushed = Timing{Call: 1600 * time.Millisecond, Silence: 2700 * time.Millisecond, BackoffMin: 20 * time.Millisecond, BackoffMax: 500 * time.Millisecond}
	// Asked is for one service of all sidecars, which takes calls in turn and turns those
	// away that have waited for 2 s. Its backoff and spread keep a fleet that has lost it
	// from coming all at once.
	Asked = Timing{Call: 2400 * time.Millisecond, Silence: 2700 * time.Millisecond, BackoffMin: 260 * time.Millisecond, BackoffMax: 500 * time.Millisecond, Spread: 2 * time.Second}
)

// Worst is the longest that a change stays unheard which discovery has and could tell.
func (t Timing) Worst() time.Duration {
	silent := t.Silence + t.BackoffMin*3/2 + t.Call // the watch that stood has died without a word
	back := t.Call + t.BackoffMax*3/2 + t.Call      // it is back while a call hangs that began before
	return max(silent, back, t.Spread+t.Call)
}

// Watcher follows the list at an address. It owns the watch, its deadlines and the wait
// before the next one; each ends at once by Move or Close.
type Watcher struct {
	Addr   string // of the first watch; Move names others
	Timing Timing
	Track  membership.Track // what is held at the start
	Listed func(*membership.List)
	Failed func(error)
	// Dial is how a connection is made; nil: by TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)

	mu     sync.Mutex
	moved  bool               // since the last watch began
	closed bool               // for good
	cancel context.CancelFunc // of the watch, or the wait; nil before the first
}

// Move sends the watch to another address, at once: the old one may say no more
// while its connection still stands. Versions of the one mean nothing at the other,
// so the whole list is asked for.
func (w *Watcher) Move(addr string) { w.interrupt(func() { w.Addr, w.moved = addr, true }) }

// Close ends the watch, and Follow.
func (w *Watcher) Close() { w.interrupt(func() { w.closed = true }) }

func (w *Watcher) interrupt(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
	if w.cancel != nil {
		w.cancel()
	}
}

// begin is what the next watch, with the wait before it, lives under; ok is false after Close.
func (w *Watcher) begin() (ctx context.Context, addr string, moved, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cancel != nil {
		w.cancel()
	}
	ctx, w.cancel = context.WithCancel(context.Background())
	if moved = w.moved; moved {
		w.moved, w.Track.Index = false, 0
	}
	return ctx, w.Addr, moved, !w.closed
}

// Follow keeps a watch open until Close, and calls Failed at each break.
func (w *Watcher) Follow() {
	backoff, wait := w.Timing.BackoffMin, rand.N(w.Timing.Spread+1)
	for {
		ctx, addr, moved, ok := w.begin()
		if !ok {
			return
		}
		if moved {
			backoff, wait = w.Timing.BackoffMin, 0
		}
		if !pause(ctx, wait) {
			continue
		}
		listed, err := w.watch(ctx, addr)
		if ctx.Err() != nil { // a move or the end, and no failure
			continue
		}
		w.Failed(err)
		if listed {
			backoff = w.Timing.BackoffMin
		}
		wait = backoff/2 + rand.N(backoff+1)
		backoff = min(2*backoff, w.Timing.BackoffMax)
	}
}

// pause waits; false: ctx ended it.
func pause(ctx context.Context, wait time.Duration) bool {
	if wait <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-t.C:
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

// watch opens one watch and hands on what it brings until it ends; listed says that it
// brought a list that was used.
func (w *Watcher) watch(ctx context.Context, addr string) (listed bool, err error) {
	deadline := time.Now().Add(w.Timing.Call)
	dialing, done := context.WithDeadline(ctx, deadline)
	conn, err := w.dial(dialing, addr)
	done()
	if err != nil {
		return false, fmt.Errorf("discovery: %w", err)
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	path := "/catalog/members?watch=1"
	if w.Track.Index > 0 {
		path += fmt.Sprintf("&after=%d", w.Track.Index)
	}
	conn.SetDeadline(deadline)
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: discovery\r\n\r\n", path); err != nil {
		return false, fmt.Errorf("discovery: %w", err)
	}
	in := &capped{r: conn, left: headMax}
	resp, err := http.ReadResponse(bufio.NewReader(in), nil)
	if err != nil {
		return false, fmt.Errorf("discovery: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return false, fmt.Errorf("discovery: answered %s", resp.Status)
	}
	in.left = -1
	alive := func() {
		if w.Track.Index > 0 { // else empty lines are no answer: the whole list is owed
			conn.SetDeadline(time.Now().Add(w.Timing.Silence))
		}
	}
	lists := newStream(resp.Body, alive)
	for {
		text, err := lists.next()
		if err == nil {
			err = w.take(text)
		} else if errors.As(err, new(*json.SyntaxError)) {
			w.Track.Index = 0 // what came cannot be relied on to go on from
		}
		if err != nil {
			return listed, err
		}
		listed = true
		alive()
	}
}

// capped is a reader that ends after left bytes; below 0 it does not. Guards against a head
// without end, which the parser would keep whole.
type capped struct {
	r    io.Reader
	left int64
}

func (c *capped) Read(b []byte) (int, error) {
	switch {
	case c.left < 0:
		return c.r.Read(b)
	case c.left == 0:
		return 0, errLongHead
	}
	n, err := c.r.Read(b[:min(int64(len(b)), c.left)])
	c.left -= int64(n)
	return n, err
}

// take hands a list on. After one that can't be read or used the next watch asks for the
// whole list, and the one held stays in use.
func (w *Watcher) take(text []byte) error {
	l, err := Parse(text)
	if err != nil {
		w.Track.Index = 0
		return err
	}
	if err := w.Track.Take(l); err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	w.Listed(l)
	return nil
}
