package council

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
	// queueMost bounds the messages that wait for one member; raft sends anew what is lost.
	queueMost = 256
	inMost    = 1024
	// batchMost bounds one batch of them, in bytes as it comes.
	batchMost = 32 << 20
	postWait  = 2 * time.Second
	macHeader = "Fawn-Mac"
)

// post brings raft's messages to the other members, in order to each, and loses what does not
// fit: a member that is slow or gone holds up nobody.
type post struct {
	key  []byte
	self sender               // set before there is a member
	at   map[string]string    // addresses by name, of this member's own file: they go before others'
	in   chan *raftpb.Message // from the others
	lost chan uint64          // who could not be reached

	mu    sync.Mutex
	peers map[uint64]*mailbox
	wg    sync.WaitGroup
	shut  bool
}

type mailbox struct {
	addr string
	all  chan *raftpb.Message
	end  context.CancelFunc
}

// sender begins each batch: one that is added to the members is told by it whom to answer,
// before it has a log.
type sender struct {
	ID uint64 `json:"id"`
	Peer
}

func newPost(key string, at map[string]string) *post {
	return &post{key: []byte(key), at: at, in: make(chan *raftpb.Message, inMost), lost: make(chan uint64, inMost), peers: make(map[uint64]*mailbox)}
}

// know takes who the members are now.
func (p *post) know(self uint64, all map[uint64]Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, box := range p.peers {
		if x, ok := all[id]; !ok || p.where(x) != "" && p.where(x) != box.addr {
			box.end()
			delete(p.peers, id)
		}
	}
	for id, x := range all {
		if id != self && p.where(x) != "" {
			p.open(id, p.where(x))
		}
	}
}

// where a member is, as far as this one knows without having heard from it.
func (p *post) where(x Peer) string { return cmp.Or(p.at[x.Name], x.Addr) }

// learn takes who has sent something, where this member knows nobody yet.
func (p *post) learn(from sender) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.peers) < MembersMost && from.ID != 0 && from.ID != p.self.ID && from.Addr != "" {
		p.open(from.ID, p.where(from.Peer))
	}
}

// open begins to carry to a member; the lock is held.
func (p *post) open(id uint64, addr string) {
	if p.peers[id] != nil || p.shut {
		return
	}
	ctx, end := context.WithCancel(context.Background())
	box := &mailbox{addr: addr, all: make(chan *raftpb.Message, queueMost), end: end}
	p.peers[id] = box
	p.wg.Go(func() { p.carry(ctx, id, box) })
}

// send puts messages on their way. It waits for nobody.
func (p *post) send(all []*raftpb.Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range all {
		if box := p.peers[m.GetTo()]; box != nil {
			select {
			case box.all <- m:
			default:
			}
		}
	}
}

// carry brings one member's messages, all that wait at once.
func (p *post) carry(ctx context.Context, id uint64, box *mailbox) {
	t := &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute}
	defer t.CloseIdleConnections()
	c := &http.Client{Transport: t, Timeout: postWait}
	for {
		text, err := json.Marshal(p.self)
		if err != nil {
			return
		}
		b := framed(nil, text)
		select {
		case m := <-box.all:
			b = packed(b, m)
		case <-ctx.Done():
			return
		}
		for more := true; more && len(b) < batchMost/8; {
			select {
			case m := <-box.all:
				b = packed(b, m)
			default:
				more = false
			}
		}
		if _, err := call(ctx, c, p.key, box.addr, "/raft", b); err != nil && ctx.Err() == nil {
			select {
			case p.lost <- id:
			default:
			}
			select { // a member that is gone is not asked again at once
			case <-time.After(50 * time.Millisecond):
			case <-ctx.Done():
				return
			}
		}
	}
}

// packed appends a message behind its length.
func packed(b []byte, m *raftpb.Message) []byte {
	text, err := proto.Marshal(m)
	if err != nil {
		return b
	}
	return framed(b, text)
}

func framed(b, text []byte) []byte {
	return append(binary.BigEndian.AppendUint32(b, uint32(len(text))), text...)
}

var errBatch = errors.New("council: the batch of messages makes no sense")

// unpacked reads a batch: who has sent it, and the messages.
func unpacked(b []byte) (from sender, all []*raftpb.Message, err error) {
	for n := 0; len(b) > 0 || n == 0; n++ {
		if len(b) < 4 || uint64(binary.BigEndian.Uint32(b)) > uint64(len(b)-4) {
			return from, nil, errBatch
		}
		text := b[4 : 4+int(binary.BigEndian.Uint32(b))]
		b = b[4+len(text):]
		if n == 0 {
			if json.Unmarshal(text, &from) != nil {
				return from, nil, errBatch
			}
			continue
		}
		m := new(raftpb.Message)
		if err := proto.Unmarshal(text, m); err != nil {
			return from, nil, errBatch
		}
		all = append(all, m)
	}
	return from, all, nil
}

func (p *post) close() {
	p.mu.Lock()
	p.shut = true
	for _, box := range p.peers {
		box.end()
	}
	p.mu.Unlock()
	p.wg.Wait()
}

// mac says who may have written something: anybody with the fleet's key.
func mac(key []byte, parts ...[]byte) []byte {
	h := hmac.New(sha256.New, key)
	for _, b := range parts {
		h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(b))))
		h.Write(b)
	}
	return h.Sum(nil)
}

// ErrKey is of a call or an answer that was not written with the fleet's key.
var ErrKey = errors.New("council: it was not written with the fleet's key")

// Refusal is a member's no.
type Refusal struct {
	Code   int    // of HTTP
	Text   string // why
	Leader string // the name of who leads and its address, by what the member knows; empty: nobody that it knows of
}

func (r *Refusal) Error() string { return r.Text }

// call posts to a member. The answer is to this call: its mac goes over the call's.
func call(ctx context.Context, c *http.Client, key []byte, addr, path string, body []byte) ([]byte, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("council: %w", err)
	}
	asked := mac(key, []byte(path), body)
	r.Header.Set(macHeader, hex.EncodeToString(asked))
	resp, err := c.Do(r)
	if err != nil {
		return nil, fmt.Errorf("council: %w", err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, batchMost))
	if err != nil {
		return nil, fmt.Errorf("council: %s: %w", addr, err)
	}
	if got, err := hex.DecodeString(resp.Header.Get(macHeader)); err != nil || !hmac.Equal(got, mac(key, asked, text)) {
		if resp.StatusCode == http.StatusForbidden {
			return nil, fmt.Errorf("%s: %w", addr, ErrKey)
		}
		return nil, fmt.Errorf("the answer of %s: %w", addr, ErrKey)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, &Refusal{resp.StatusCode, string(text), resp.Header.Get("Fawn-Leader")}
	}
	return text, nil
}
