package council

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"time"

	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// identity is who a member's folder belongs to.
type identity struct {
	Fleet string `json:"fleet"`
	Name  string `json:"name"`
	ID    uint64 `json:"id"` // in the log's configuration; one that has lost its folder is another
}

// Errors of a member's folder.
var (
	ErrSpoilt = errors.New("what is on the disk is not what was written: this member must be removed, and added anew with an empty folder")
	ErrOther  = errors.New("the folder is another member's")
)

// store keeps a member's log, hard state and snapshot. Each write is on the disk before it
// returns (bbolt syncs each transaction); what is read back is held against a checksum.
type store struct{ db *bbolt.DB }

var (
	logBucket  = []byte("log")
	metaBucket = []byte("meta")
	idKey      = []byte("identity")
	asKey      = []byte("asked") // another founder has been told that this one is empty
	hardKey    = []byte("hard")
	snapKey    = []byte("snapshot")
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

// lockWait is how long a start waits for another process to let go of the folder.
const lockWait = time.Second

func openStore(folder string) (*store, error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, fmt.Errorf("council: folder: %w", err)
	}
	db, err := bbolt.Open(filepath.Join(folder, "council.db"), 0o600, &bbolt.Options{Timeout: lockWait})
	if err != nil {
		return nil, fmt.Errorf("council: %s: %w", folder, err)
	}
	err = db.Update(func(tx *bbolt.Tx) error {
		for _, b := range [][]byte{logBucket, metaBucket} {
			if _, err := tx.CreateBucketIfNotExists(b); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		db.Close()
		return nil, fmt.Errorf("council: %s: %w", folder, err)
	}
	return &store{db}, nil
}

func (s *store) close() error { return s.db.Close() }

// sealed is bytes behind their checksum.
func sealed(b []byte) []byte {
	return append(binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(b)), crc32.Checksum(b, castagnoli)), b...)
}

func unsealed(b []byte) ([]byte, error) {
	if len(b) < 4 || binary.BigEndian.Uint32(b) != crc32.Checksum(b[4:], castagnoli) {
		return nil, ErrSpoilt
	}
	return append([]byte(nil), b[4:]...), nil // what bbolt gives is its own
}

func indexKey(i uint64) []byte { return binary.BigEndian.AppendUint64(nil, i) }

// identity is whose folder it is; nil: nobody's yet.
func (s *store) identity() (id *identity, asked bool, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		b := tx.Bucket(metaBucket)
		asked = b.Get(asKey) != nil
		v := b.Get(idKey)
		if v == nil {
			return nil
		}
		text, err := unsealed(v)
		if err != nil {
			return err
		}
		id = new(identity)
		return json.Unmarshal(text, id)
	})
	return id, asked, err
}

// asked remembers that another founder was told that this one is empty.
func (s *store) asked() error {
	return s.db.Update(func(tx *bbolt.Tx) error { return tx.Bucket(metaBucket).Put(asKey, []byte{1}) })
}

// found makes the folder a member's, whose log begins with a snapshot; an empty one: it waits
// for the others' log.
func (s *store) found(id identity, snap *raftpb.Snapshot) error {
	text, err := json.Marshal(id)
	if err != nil {
		return err
	}
	return s.db.Update(func(tx *bbolt.Tx) error {
		if err := tx.Bucket(metaBucket).Put(idKey, sealed(text)); err != nil {
			return err
		}
		if raft.IsEmptySnap(snap) {
			return nil
		}
		term, index := snap.GetMetadata().GetTerm(), snap.GetMetadata().GetIndex()
		if err := put(tx, snapKey, snap); err != nil {
			return err
		}
		return put(tx, hardKey, &raftpb.HardState{Term: &term, Commit: &index})
	})
}

func put(tx *bbolt.Tx, key []byte, m proto.Message) error {
	b, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	return tx.Bucket(metaBucket).Put(key, sealed(b))
}

// save writes what raft wants on the disk before anything else is done. Entries replace those
// from the first one's index on.
func (s *store) save(hard *raftpb.HardState, entries []*raftpb.Entry, snap *raftpb.Snapshot) error {
	if raft.IsEmptyHardState(hard) && len(entries) == 0 && raft.IsEmptySnap(snap) {
		return nil
	}
	err := s.db.Update(func(tx *bbolt.Tx) error {
		log := tx.Bucket(logBucket)
		if !raft.IsEmptySnap(snap) {
			if err := put(tx, snapKey, snap); err != nil {
				return err
			}
			if err := drop(log, 0, 1<<62); err != nil {
				return err
			}
		}
		if len(entries) > 0 {
			if err := drop(log, entries[len(entries)-1].GetIndex()+1, 1<<62); err != nil {
				return err
			}
		}
		for _, e := range entries {
			b, err := proto.Marshal(e)
			if err != nil {
				return err
			}
			if err := log.Put(indexKey(e.GetIndex()), sealed(b)); err != nil {
				return err
			}
		}
		if raft.IsEmptyHardState(hard) {
			return nil
		}
		return put(tx, hardKey, hard)
	})
	if err != nil {
		return fmt.Errorf("council: the log can't be written: %w", err)
	}
	return nil
}

// compact keeps a snapshot of our own, and the entries behind it only.
func (s *store) compact(snap *raftpb.Snapshot, keep uint64) error {
	err := s.db.Update(func(tx *bbolt.Tx) error {
		if err := put(tx, snapKey, snap); err != nil {
			return err
		}
		return drop(tx.Bucket(logBucket), 0, keep)
	})
	if err != nil {
		return fmt.Errorf("council: the log can't be made shorter: %w", err)
	}
	return nil
}

// drop deletes the entries from one index to below another.
func drop(log *bbolt.Bucket, from, below uint64) error {
	var keys [][]byte // a cursor that deletes may pass over what follows
	c := log.Cursor()
	for k, _ := c.Seek(indexKey(from)); k != nil && binary.BigEndian.Uint64(k) < below; k, _ = c.Next() {
		keys = append(keys, k)
	}
	for _, k := range keys {
		if err := log.Delete(k); err != nil {
			return err
		}
	}
	return nil
}

// load reads everything back into raft's own store in memory.
func (s *store) load() (*raft.MemoryStorage, error) {
	mem := raft.NewMemoryStorage()
	err := s.db.View(func(tx *bbolt.Tx) error {
		get := func(key []byte, m proto.Message) (bool, error) {
			v := tx.Bucket(metaBucket).Get(key)
			if v == nil {
				return false, nil
			}
			b, err := unsealed(v)
			if err == nil {
				err = proto.Unmarshal(b, m)
			}
			return true, err
		}
		var snap raftpb.Snapshot
		if is, err := get(snapKey, &snap); err != nil {
			return fmt.Errorf("the snapshot: %w", err)
		} else if is {
			if err := mem.ApplySnapshot(&snap); err != nil {
				return err
			}
		}
		first := snap.GetMetadata().GetIndex()
		var entries []*raftpb.Entry
		err := tx.Bucket(logBucket).ForEach(func(k, v []byte) error {
			b, err := unsealed(v)
			if err != nil {
				return fmt.Errorf("entry %d: %w", binary.BigEndian.Uint64(k), err)
			}
			e := new(raftpb.Entry)
			if err := proto.Unmarshal(b, e); err != nil {
				return fmt.Errorf("entry %d: %w", binary.BigEndian.Uint64(k), err)
			}
			if e.GetIndex() <= first {
				return nil
			}
			if want := first + 1 + uint64(len(entries)); e.GetIndex() != want {
				return fmt.Errorf("entry %d is missing: %w", want, ErrSpoilt)
			}
			entries = append(entries, e)
			return nil
		})
		if err != nil {
			return err
		}
		if err := mem.Append(entries); err != nil {
			return err
		}
		hard := new(raftpb.HardState)
		if is, err := get(hardKey, hard); err != nil {
			return fmt.Errorf("the hard state: %w", err)
		} else if is {
			if last, _ := mem.LastIndex(); hard.GetCommit() > last {
				return fmt.Errorf("%d entries were agreed on, %d are there: %w", hard.GetCommit(), last, ErrSpoilt)
			}
			return mem.SetHardState(hard)
		}
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("council: %w", err)
	}
	return mem, nil
}
