package consensus

import (
	"bytes"
	"cmp"
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

const (
	// maxQueuedMessages limits the messages queued for one member. Messages that don't fit are
	// dropped; raft sends them again.
	maxQueuedMessages = 256
	// maxReceivedMessages limits the received messages, and the failures to reach a member, that
	// wait for the member's goroutine.
	maxReceivedMessages = 1024
	// maxBatchBytes is the maximum size in bytes of a received batch of messages or response.
	maxBatchBytes = 32 << 20
	// transportTimeout is the timeout of a call between members and for reading the header of a
	// request. A whole request may take twice as long to read.
	transportTimeout = 2 * time.Second
	// macHeader carries the MAC of a request or response, in hex.
	macHeader = "Fawn-Mac"
)

// transport sends raft's messages to the other members. Each member has a queue of its own, which
// keeps their order and drops what does not fit, so that a slow or failed member delays no other.
type transport struct {
	key         []byte
	self        sender               // set before the member starts
	addrs       map[string]string    // addresses by member name from this member's configuration, which take precedence
	received    chan *raftpb.Message // received messages
	unreachable chan uint64          // ids of members that could not be reached

	mu     sync.Mutex
	queues map[uint64]*memberQueue
	wg     sync.WaitGroup
	closed bool
}

// memberQueue is the queue of messages for one member.
type memberQueue struct {
	addr     string
	messages chan *raftpb.Message
	cancel   context.CancelFunc
}

// sender identifies the member that sends a batch and is the first frame of it. A member that has
// just been added has no log yet and learns from it where to send its responses.
type sender struct {
	ID uint64 `json:"id"`
	Endpoint
}

func newTransport(key string, addrs map[string]string) *transport {
	return &transport{key: []byte(key), addrs: addrs, received: make(chan *raftpb.Message, maxReceivedMessages), unreachable: make(chan uint64, maxReceivedMessages), queues: make(map[uint64]*memberQueue)}
}

// setMembers sets the current members: it opens queues to new ones and closes those to members that
// have been removed or have another address.
func (t *transport) setMembers(self uint64, members map[uint64]Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, queue := range t.queues {
		if endpoint, ok := members[id]; !ok || t.addrOf(endpoint) != "" && t.addrOf(endpoint) != queue.addr {
			queue.cancel()
			delete(t.queues, id)
		}
	}
	for id, endpoint := range members {
		if id != self && t.addrOf(endpoint) != "" {
			t.openQueue(id, t.addrOf(endpoint))
		}
	}
}

// addrOf returns the address of a member: the one in this member's configuration if there is one.
func (t *transport) addrOf(endpoint Endpoint) string {
	return cmp.Or(t.addrs[endpoint.Name], endpoint.Addr)
}

// addSender opens a queue to the sender of a batch, for a member that does not know the others yet.
func (t *transport) addSender(from sender) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.queues) < MaxMembers && from.ID != 0 && from.ID != t.self.ID && from.Addr != "" {
		t.openQueue(from.ID, t.addrOf(from.Endpoint))
	}
}

// openQueue starts the queue to a member, unless it has one. The caller holds mu.
func (t *transport) openQueue(id uint64, addr string) {
	if t.queues[id] != nil || t.closed {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	queue := &memberQueue{addr: addr, messages: make(chan *raftpb.Message, maxQueuedMessages), cancel: cancel}
	t.queues[id] = queue
	t.wg.Go(func() { t.sendQueued(ctx, id, queue) })
}

// send queues messages for their recipients. It does not block: messages that don't fit into a
// queue are dropped.
func (t *transport) send(messages []*raftpb.Message) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range messages {
		if queue := t.queues[m.GetTo()]; queue != nil {
			select {
			case queue.messages <- m:
			default:
			}
		}
	}
}

// sendQueued sends the messages queued for one member until ctx ends. A batch holds all messages
// that are queued at the time, up to about maxBatchBytes/8 bytes.
func (t *transport) sendQueued(ctx context.Context, id uint64, queue *memberQueue) {
	httpTransport := &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute}
	defer httpTransport.CloseIdleConnections()
	client := &http.Client{Transport: httpTransport, Timeout: transportTimeout}
	for {
		text, err := json.Marshal(t.self)
		if err != nil {
			return
		}
		batch := appendFrame(nil, text)
		select {
		case m := <-queue.messages:
			batch = appendMessage(batch, m)
		case <-ctx.Done():
			return
		}
		for hasMore := true; hasMore && len(batch) < maxBatchBytes/8; {
			select {
			case m := <-queue.messages:
				batch = appendMessage(batch, m)
			default:
				hasMore = false
			}
		}
		if _, err := postRequest(ctx, client, t.key, queue.addr, "/raft", batch); err != nil && ctx.Err() == nil {
			select {
			case t.unreachable <- id:
			default:
			}
			select { // wait before the next batch to a member that can't be reached
			case <-time.After(50 * time.Millisecond):
			case <-ctx.Done():
				return
			}
		}
	}
}

// appendMessage appends a message to b, preceded by its length.
func appendMessage(b []byte, m *raftpb.Message) []byte {
	text, err := proto.Marshal(m)
	if err != nil {
		return b
	}
	return appendFrame(b, text)
}

// appendFrame appends text to b, preceded by its length as four bytes.
func appendFrame(b, text []byte) []byte {
	return append(binary.BigEndian.AppendUint32(b, uint32(len(text))), text...)
}

var errInvalidBatch = errors.New("council: invalid batch of messages")

// decodeBatch decodes a batch into its sender and its messages.
func decodeBatch(b []byte) (sentBy sender, messages []*raftpb.Message, err error) {
	for n := 0; len(b) > 0 || n == 0; n++ {
		if len(b) < 4 || uint64(binary.BigEndian.Uint32(b)) > uint64(len(b)-4) {
			return sentBy, nil, errInvalidBatch
		}
		text := b[4 : 4+int(binary.BigEndian.Uint32(b))]
		b = b[4+len(text):]
		if n == 0 {
			if json.Unmarshal(text, &sentBy) != nil {
				return sentBy, nil, errInvalidBatch
			}
			continue
		}
		m := new(raftpb.Message)
		if err := proto.Unmarshal(text, m); err != nil {
			return sentBy, nil, errInvalidBatch
		}
		messages = append(messages, m)
	}
	return sentBy, messages, nil
}

// close stops all queues and waits for their goroutines.
func (t *transport) close() {
	t.mu.Lock()
	t.closed = true
	for _, queue := range t.queues {
		queue.cancel()
	}
	t.mu.Unlock()
	t.wg.Wait()
}

// computeMAC returns a message authentication code of parts under the fleet's key. Each part is
// preceded by its length, so that different splits of the same bytes have different codes.
func computeMAC(key []byte, parts ...[]byte) []byte {
	h := hmac.New(sha256.New, key)
	for _, b := range parts {
		h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(b))))
		h.Write(b)
	}
	return h.Sum(nil)
}

// ErrWrongKey means that a request or response was not authenticated with the fleet's key.
var ErrWrongKey = errors.New("council: not authenticated with the fleet's key")

// Refusal is an error response of a member.
type Refusal struct {
	Code   int    // HTTP status code
	Text   string // the reason
	Leader string // name and address of the leader that the member knows, separated by a space; empty: none given
}

func (r *Refusal) Error() string { return r.Text }

// postRequest posts body to a member and returns the body of the response. The MAC of the response
// covers that of the request, so that a response to another request is not accepted. An error
// response is returned as *Refusal.
func postRequest(ctx context.Context, client *http.Client, key []byte, addr, path string, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("council: %w", err)
	}
	requestMAC := computeMAC(key, []byte(path), body)
	request.Header.Set(macHeader, hex.EncodeToString(requestMAC))
	resp, err := client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("council: %w", err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxBatchBytes))
	if err != nil {
		return nil, fmt.Errorf("council: %s: %w", addr, err)
	}
	if got, err := hex.DecodeString(resp.Header.Get(macHeader)); err != nil || !hmac.Equal(got, computeMAC(key, requestMAC, text)) {
		if resp.StatusCode == http.StatusForbidden {
			return nil, fmt.Errorf("%s: %w", addr, ErrWrongKey)
		}
		return nil, fmt.Errorf("response of %s: %w", addr, ErrWrongKey)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, &Refusal{resp.StatusCode, string(text), resp.Header.Get("Fawn-Leader")}
	}
	return text, nil
}
