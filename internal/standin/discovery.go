package standin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Endpoint is one server as discovery tells of it.
type Endpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"` // up, draining, removed
	Weight  float64 `json:"weight"`
	SinceMs int64   `json:"since_ms"`
}

// changesMost bounds the changes that a Discovery remembers; who asks for older ones
// is given the whole list.
const changesMost = 1024

// Discovery is the service that tells of servers.
type Discovery struct {
	mu       sync.Mutex
	ln       net.Listener
	index    int64
	list     []Endpoint
	changes  []change
	lag      time.Duration
	lose     int // so many further changes are told to nobody who watches
	down     bool
	beat     time.Duration
	conns    map[net.Conn]struct{}
	watchers map[*watcher]struct{}
	watched  int
	refused  int
	handlers sync.WaitGroup
}

type change struct {
	index int64
	entry Endpoint
}

type watcher struct {
	c     net.Conn
	wake  chan struct{} // holds one
	after int64
	whole bool
}

// NewDiscovery starts a discovery on a loopback port that the system picks.
func NewDiscovery(list ...Endpoint) (*Discovery, error) {
	d := &Discovery{index: 1, list: slices.Clone(list), beat: 2 * time.Second, conns: make(map[net.Conn]struct{}), watchers: make(map[*watcher]struct{})}
	if err := d.Move(); err != nil {
		return nil, err
	}
	return d, nil
}

// Addr is where it listens now.
func (d *Discovery) Addr() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ln.Addr().String()
}

// Move goes to another address. The old one takes no new connection; the open ones
// stay until Break.
func (d *Discovery) Move() error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("standin: %w", err)
	}
	d.mu.Lock()
	old := d.ln
	d.ln = ln
	d.mu.Unlock()
	if old != nil {
		old.Close()
	}
	d.handlers.Add(1)
	go func() {
		defer d.handlers.Done()
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			d.mu.Lock()
			d.conns[c] = struct{}{}
			d.mu.Unlock()
			d.handlers.Add(1)
			go func() {
				defer d.handlers.Done()
				defer func() {
					d.mu.Lock()
					delete(d.conns, c)
					d.mu.Unlock()
					c.Close()
				}()
				d.serve(c)
			}()
		}
	}()
	return nil
}

// Change tells of servers that are new or have changed; Status "removed" takes one off.
func (d *Discovery) Change(entries ...Endpoint) {
	d.mu.Lock()
	lag := d.lag
	d.mu.Unlock()
	if lag > 0 {
		time.AfterFunc(lag, func() { d.apply(entries) })
		return
	}
	d.apply(entries)
}

func (d *Discovery) apply(entries []Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range entries {
		d.index++
		at := slices.IndexFunc(d.list, func(o Endpoint) bool { return o.Name == e.Name })
		switch {
		case e.Status == "removed" && at >= 0:
			d.list = slices.Delete(d.list, at, at+1)
		case e.Status == "removed":
		case at >= 0:
			d.list[at] = e
		default:
			d.list = append(d.list, e)
		}
		if d.lose > 0 {
			d.lose--
			continue
		}
		if d.changes = append(d.changes, change{d.index, e}); len(d.changes) > changesMost {
			d.changes = d.changes[1:]
		}
	}
	for w := range d.watchers {
		w.poke()
	}
}

func (w *watcher) poke() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Lag delays all changes from now on.
func (d *Discovery) Lag(by time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lag = by
}

// Lose has the next n changes told to nobody: only who asks for the whole list
// afterwards learns of them.
func (d *Discovery) Lose(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lose = n
}

// Break ends all watches.
func (d *Discovery) Break() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for w := range d.watchers {
		w.c.Close()
	}
}

// Down has all calls fail, and ends the watches, until it is called with false.
func (d *Discovery) Down(down bool) {
	d.mu.Lock()
	d.down = down
	d.mu.Unlock()
	if down {
		d.Break()
	}
}

// Watching is how many watches are open, Watched how many ever were.
func (d *Discovery) Watching() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.watchers)
}

// Watched is how many watches were ever opened.
func (d *Discovery) Watched() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.watched
}

// Refused is how many calls came while it was down.
func (d *Discovery) Refused() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.refused
}

// Close ends it and waits for its goroutines.
func (d *Discovery) Close() {
	d.mu.Lock()
	d.ln.Close()
	d.down = true
	for c := range d.conns {
		c.Close()
	}
	d.mu.Unlock()
	d.handlers.Wait()
}

type listing struct {
	Index     int64      `json:"index"`
	Snapshot  bool       `json:"snapshot"`
	Endpoints []Endpoint `json:"endpoints"`
}

func (d *Discovery) serve(c net.Conn) {
	br := bufio.NewReader(c)
	for {
		c.SetReadDeadline(time.Now().Add(time.Minute))
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		d.mu.Lock()
		down := d.down
		if down {
			d.refused++
		}
		whole := listing{d.index, true, slices.Clone(d.list)}
		d.mu.Unlock()
		switch {
		case down:
			fmt.Fprint(c, "HTTP/1.1 503 Down\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
			return
		case r.URL.Path != "/catalog/members":
			fmt.Fprint(c, "HTTP/1.1 404 Unknown\r\nContent-Length: 0\r\n\r\n")
		case r.URL.Query().Get("watch") == "1":
			d.watch(c, r.URL.Query())
			return
		default:
			text, _ := json.Marshal(whole)
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		}
	}
}

// watch tells of changes until the connection ends.
func (d *Discovery) watch(c net.Conn, q url.Values) {
	w := &watcher{c: c, wake: make(chan struct{}, 1)}
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	w.after, w.whole = after, err != nil
	d.mu.Lock()
	if d.down {
		d.mu.Unlock()
		return
	}
	d.watchers[w] = struct{}{}
	d.watched++
	beat := d.beat
	d.mu.Unlock()
	gone := make(chan struct{})
	d.handlers.Add(1)
	go func() { // notices who leaves
		defer d.handlers.Done()
		c.SetReadDeadline(time.Time{})
		c.Read(make([]byte, 1))
		close(gone)
	}()
	defer func() {
		d.mu.Lock()
		delete(d.watchers, w)
		d.mu.Unlock()
		c.Close()
		<-gone
	}()
	if _, err := fmt.Fprint(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
		return
	}
	tick := time.NewTicker(beat)
	defer tick.Stop()
	for first := true; ; first = false {
		news := d.news(w)
		if news != nil || first {
			text := []byte{}
			if news != nil {
				text, _ = json.Marshal(news)
			}
			if _, err := fmt.Fprintf(c, "%x\r\n%s\n\r\n", len(text)+1, text); err != nil {
				return
			}
		}
		select {
		case <-gone:
			return
		case <-w.wake:
		case <-tick.C:
			if _, err := fmt.Fprint(c, "1\r\n\n\r\n"); err != nil {
				return
			}
		}
	}
}

// news is what a watcher has not been told, nil for nothing.
func (d *Discovery) news(w *watcher) *listing {
	d.mu.Lock()
	defer d.mu.Unlock()
	if w.whole || w.after > d.index || len(d.changes) > 0 && w.after < d.changes[0].index-1 || w.after < d.index && len(d.changes) == 0 {
		w.whole, w.after = false, d.index
		return &listing{d.index, true, slices.Clone(d.list)}
	}
	l := &listing{Index: d.index}
	for _, c := range d.changes {
		if c.index > w.after {
			l.Endpoints = append(l.Endpoints, c.entry)
		}
	}
	w.after = d.index
	if len(l.Endpoints) == 0 {
		return nil
	}
	return l
}
