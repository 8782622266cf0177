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

// Endpoint is one server as discovery lists it.
type Endpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"` // up, draining or removed
	Weight  float64 `json:"weight"`
	SinceMs int64   `json:"since_ms"`
}

// maxChanges is how many changes a Discovery remembers. A watcher that asks for older ones gets a
// snapshot.
const maxChanges = 1024

// Discovery stands in for the service discovery of the platform: it answers with a list of servers
// and streams changes to watchers. Its methods may be called from any goroutine.
type Discovery struct {
	mu                sync.Mutex
	listener          net.Listener
	index             int64 // of the last change
	endpoints         []Endpoint
	changes           []change
	delay             time.Duration // of each change
	changesToDrop     int           // how many of the next changes watchers don't get
	down              bool
	heartbeatInterval time.Duration
	conns             map[net.Conn]struct{}
	watchers          map[*watcher]struct{}
	totalWatches      int // opened since the start
	refusedCalls      int // while down
	goroutines        sync.WaitGroup
}

// change is an endpoint that was added, changed or removed, and the index of that change.
type change struct {
	index    int64
	endpoint Endpoint
}

// watcher is a connection that receives changes.
type watcher struct {
	conn          net.Conn
	wake          chan struct{} // has a buffer of one
	lastIndex     int64         // of the last change that was sent
	needsSnapshot bool
}

// NewDiscovery starts a Discovery of the given servers on a loopback port that the system picks.
// The caller must close it.
func NewDiscovery(endpoints ...Endpoint) (*Discovery, error) {
	d := &Discovery{index: 1, endpoints: slices.Clone(endpoints), heartbeatInterval: 2 * time.Second, conns: make(map[net.Conn]struct{}), watchers: make(map[*watcher]struct{})}
	if err := d.Move(); err != nil {
		return nil, err
	}
	return d, nil
}

// Addr returns the address at which the service listens now.
func (d *Discovery) Addr() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listener.Addr().String()
}

// Move listens at a new address and refuses new connections at the old one. Connections that are
// open stay open.
func (d *Discovery) Move() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("standin: start discovery: %w", err)
	}
	d.mu.Lock()
	oldListener := d.listener
	d.listener = listener
	d.mu.Unlock()
	if oldListener != nil {
		oldListener.Close()
	}
	d.goroutines.Add(1)
	go func() {
		defer d.goroutines.Done()
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			d.mu.Lock()
			d.conns[conn] = struct{}{}
			d.mu.Unlock()
			d.goroutines.Add(1)
			go func() {
				defer d.goroutines.Done()
				defer func() {
					d.mu.Lock()
					delete(d.conns, conn)
					d.mu.Unlock()
					conn.Close()
				}()
				d.serve(conn)
			}()
		}
	}()
	return nil
}

// Change adds or replaces servers in the list and notifies the watchers, after the delay if one is
// set. A server with the Status "removed" leaves the list.
func (d *Discovery) Change(endpoints ...Endpoint) {
	d.mu.Lock()
	delay := d.delay
	d.mu.Unlock()
	if delay > 0 {
		time.AfterFunc(delay, func() { d.apply(endpoints) })
		return
	}
	d.apply(endpoints)
}

// apply makes changes in the list and wakes the watchers.
func (d *Discovery) apply(endpoints []Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, endpoint := range endpoints {
		d.index++
		position := slices.IndexFunc(d.endpoints, func(listed Endpoint) bool { return listed.Name == endpoint.Name })
		switch {
		case endpoint.Status == "removed" && position >= 0:
			d.endpoints = slices.Delete(d.endpoints, position, position+1)
		case endpoint.Status == "removed":
		case position >= 0:
			d.endpoints[position] = endpoint
		default:
			d.endpoints = append(d.endpoints, endpoint)
		}
		if d.changesToDrop > 0 {
			d.changesToDrop--
			continue
		}
		if d.changes = append(d.changes, change{d.index, endpoint}); len(d.changes) > maxChanges {
			d.changes = d.changes[1:]
		}
	}
	for w := range d.watchers {
		w.wakeUp()
	}
}

// wakeUp makes the watcher look for changes. It doesn't block.
func (w *watcher) wakeUp() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// SetDelay sets the delay of all changes from now on.
func (d *Discovery) SetDelay(delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delay = delay
}

// DropChanges keeps the next n changes from watchers. They show only in the snapshots that are
// requested afterwards.
func (d *Discovery) DropChanges(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.changesToDrop = n
}

// CloseWatches closes the connections of all watchers.
func (d *Discovery) CloseWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for w := range d.watchers {
		w.conn.Close()
	}
}

// SetDown with true closes the connections of all watchers and makes every call fail with 503; with
// false it ends the outage.
func (d *Discovery) SetDown(down bool) {
	d.mu.Lock()
	d.down = down
	d.mu.Unlock()
	if down {
		d.CloseWatches()
	}
}

// OpenWatches returns how many watchers are connected.
func (d *Discovery) OpenWatches() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.watchers)
}

// TotalWatches returns how many watchers have ever connected.
func (d *Discovery) TotalWatches() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.totalWatches
}

// RefusedCalls returns how many calls were answered 503 during an outage.
func (d *Discovery) RefusedCalls() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.refusedCalls
}

// Close stops the service and waits for its goroutines.
func (d *Discovery) Close() {
	d.mu.Lock()
	d.listener.Close()
	d.down = true
	for c := range d.conns {
		c.Close()
	}
	d.mu.Unlock()
	d.goroutines.Wait()
}

// catalogListing is the JSON of a snapshot or of changes.
type catalogListing struct {
	Index     int64      `json:"index"`
	Snapshot  bool       `json:"snapshot"`
	Endpoints []Endpoint `json:"endpoints"`
}

// serve answers the requests of a connection until it ends.
func (d *Discovery) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		conn.SetReadDeadline(time.Now().Add(time.Minute))
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		d.mu.Lock()
		down := d.down
		if down {
			d.refusedCalls++
		}
		snapshot := catalogListing{d.index, true, slices.Clone(d.endpoints)}
		d.mu.Unlock()
		switch {
		case down:
			fmt.Fprint(conn, "HTTP/1.1 503 Down\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
			return
		case req.URL.Path != "/catalog/members":
			fmt.Fprint(conn, "HTTP/1.1 404 Unknown\r\nContent-Length: 0\r\n\r\n")
		case req.URL.Query().Get("watch") == "1":
			d.watch(conn, req.URL.Query())
			return
		default:
			body, _ := json.Marshal(snapshot)
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		}
	}
}

// watch streams changes to a client, a line of JSON each, until the connection ends. Empty lines
// are heartbeats. Without a valid "after" in the query it begins with a snapshot.
func (d *Discovery) watch(conn net.Conn, query url.Values) {
	w := &watcher{conn: conn, wake: make(chan struct{}, 1)}
	after, err := strconv.ParseInt(query.Get("after"), 10, 64)
	w.lastIndex, w.needsSnapshot = after, err != nil
	d.mu.Lock()
	if d.down {
		d.mu.Unlock()
		return
	}
	d.watchers[w] = struct{}{}
	d.totalWatches++
	heartbeatInterval := d.heartbeatInterval
	d.mu.Unlock()
	disconnected := make(chan struct{})
	d.goroutines.Add(1)
	go func() { // notices when the client closes the connection
		defer d.goroutines.Done()
		conn.SetReadDeadline(time.Time{})
		conn.Read(make([]byte, 1))
		close(disconnected)
	}()
	defer func() {
		d.mu.Lock()
		delete(d.watchers, w)
		d.mu.Unlock()
		conn.Close()
		<-disconnected
	}()
	if _, err := fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
		return
	}
	heartbeats := time.NewTicker(heartbeatInterval)
	defer heartbeats.Stop()
	for first := true; ; first = false {
		changes := d.unsentChanges(w)
		if changes != nil || first {
			encoded := []byte{}
			if changes != nil {
				encoded, _ = json.Marshal(changes)
			}
			if _, err := fmt.Fprintf(conn, "%x\r\n%s\n\r\n", len(encoded)+1, encoded); err != nil {
				return
			}
		}
		select {
		case <-disconnected:
			return
		case <-w.wake:
		case <-heartbeats.C:
			if _, err := fmt.Fprint(conn, "1\r\n\n\r\n"); err != nil {
				return
			}
		}
	}
}

// unsentChanges returns the changes that a watcher hasn't been sent yet, or nil if there are none.
// It returns a snapshot if the watcher needs one or if its last index is in the future or older
// than the changes that are remembered.
func (d *Discovery) unsentChanges(w *watcher) *catalogListing {
	d.mu.Lock()
	defer d.mu.Unlock()
	if w.needsSnapshot || w.lastIndex > d.index || len(d.changes) > 0 && w.lastIndex < d.changes[0].index-1 || w.lastIndex < d.index && len(d.changes) == 0 {
		w.needsSnapshot, w.lastIndex = false, d.index
		return &catalogListing{d.index, true, slices.Clone(d.endpoints)}
	}
	listing := &catalogListing{Index: d.index}
	for _, c := range d.changes {
		if c.index > w.lastIndex {
			listing.Endpoints = append(listing.Endpoints, c.endpoint)
		}
	}
	w.lastIndex = d.index
	if len(listing.Endpoints) == 0 {
		return nil
	}
	return listing
}
