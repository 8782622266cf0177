package consensus

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

// folderIdentity names the member that a folder belongs to.
type folderIdentity struct {
	Fleet string `json:"fleet"`
	Name  string `json:"name"`
	ID    uint64 `json:"id"` // raft id; a member that has lost its folder joins again with another one
}

// Errors of a member's folder.
var (
	// ErrCorrupt means that stored data is corrupt or missing.
	ErrCorrupt = errors.New("the data on disk is corrupt: remove this member from the council, then add it again with an empty folder")
	// ErrForeignFolder means that the folder belongs to another member or fleet.
	ErrForeignFolder = errors.New("the folder belongs to another member or fleet")
)

// store holds a member's log, hard state and snapshot. Each write is on disk before it returns,
// as bbolt syncs each transaction. Each value is verified by a checksum when it is read.
type store struct{ db *bbolt.DB }

var (
	logBucket    = []byte("log")
	metaBucket   = []byte("meta")
	identityKey  = []byte("identity")
	askedKey     = []byte("asked") // set once another founder has been told that this folder is empty
	hardStateKey = []byte("hard")
	snapshotKey  = []byte("snapshot")
	castagnoli   = crc32.MakeTable(crc32.Castagnoli)
)

// lockTimeout is how long openStore waits for another process to release the folder.
const lockTimeout = time.Second

// openStore opens the database in a folder, and creates both if they don't exist. It fails if
// another process keeps the database open.
func openStore(folder string) (*store, error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, fmt.Errorf("council: create the folder: %w", err)
	}
	db, err := bbolt.Open(filepath.Join(folder, "council.db"), 0o600, &bbolt.Options{Timeout: lockTimeout})
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

// withChecksum returns b with its checksum in front.
func withChecksum(b []byte) []byte {
	return append(binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(b)), crc32.Checksum(b, castagnoli)), b...)
}

// verifyChecksum returns a copy of the data behind the checksum, or ErrCorrupt if they don't match.
func verifyChecksum(b []byte) ([]byte, error) {
	if len(b) < 4 || binary.BigEndian.Uint32(b) != crc32.Checksum(b[4:], castagnoli) {
		return nil, ErrCorrupt
	}
	return append([]byte(nil), b[4:]...), nil // bbolt's slices are valid only during the transaction
}

func entryKey(i uint64) []byte { return binary.BigEndian.AppendUint64(nil, i) }

// identity returns the member that the folder belongs to, nil if none yet, and whether another
// founder has been told that the folder is empty.
func (s *store) identity() (id *folderIdentity, asked bool, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		b := tx.Bucket(metaBucket)
		asked = b.Get(askedKey) != nil
		v := b.Get(identityKey)
		if v == nil {
			return nil
		}
		text, err := verifyChecksum(v)
		if err != nil {
			return err
		}
		id = new(folderIdentity)
		return json.Unmarshal(text, id)
	})
	return id, asked, err
}

// markAsked records that another founder was told that this folder is empty.
func (s *store) markAsked() error {
	return s.db.Update(func(tx *bbolt.Tx) error { return tx.Bucket(metaBucket).Put(askedKey, []byte{1}) })
}

// assignFolder assigns the folder to a member, whose log begins with snap. With an empty snap the
// member receives its log from the others.
func (s *store) assignFolder(id folderIdentity, snap *raftpb.Snapshot) error {
	text, err := json.Marshal(id)
	if err != nil {
		return err
	}
	return s.db.Update(func(tx *bbolt.Tx) error {
		if err := tx.Bucket(metaBucket).Put(identityKey, withChecksum(text)); err != nil {
			return err
		}
		if raft.IsEmptySnap(snap) {
			return nil
		}
		term, index := snap.GetMetadata().GetTerm(), snap.GetMetadata().GetIndex()
		if err := putMeta(tx, snapshotKey, snap); err != nil {
			return err
		}
		return putMeta(tx, hardStateKey, &raftpb.HardState{Term: &term, Commit: &index})
	})
}

// putMeta stores a message with its checksum in the meta bucket.
func putMeta(tx *bbolt.Tx, key []byte, m proto.Message) error {
	b, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	return tx.Bucket(metaBucket).Put(key, withChecksum(b))
}

// save writes, in one transaction, what raft requires on disk before messages are sent. The
// entries replace all stored ones from the index of the first entry on, and a snapshot replaces
// the whole log.
func (s *store) save(hard *raftpb.HardState, entries []*raftpb.Entry, snap *raftpb.Snapshot) error {
	if raft.IsEmptyHardState(hard) && len(entries) == 0 && raft.IsEmptySnap(snap) {
		return nil
	}
	err := s.db.Update(func(tx *bbolt.Tx) error {
		log := tx.Bucket(logBucket)
		if !raft.IsEmptySnap(snap) {
			if err := putMeta(tx, snapshotKey, snap); err != nil {
				return err
			}
			if err := deleteEntries(log, 0, 1<<62); err != nil {
				return err
			}
		}
		if len(entries) > 0 {
			if err := deleteEntries(log, entries[len(entries)-1].GetIndex()+1, 1<<62); err != nil {
				return err
			}
		}
		for _, e := range entries {
			b, err := proto.Marshal(e)
			if err != nil {
				return err
			}
			if err := log.Put(entryKey(e.GetIndex()), withChecksum(b)); err != nil {
				return err
			}
		}
		if raft.IsEmptyHardState(hard) {
			return nil
		}
		return putMeta(tx, hardStateKey, hard)
	})
	if err != nil {
		return fmt.Errorf("council: the log can't be written: %w", err)
	}
	return nil
}

// compact stores a snapshot that this member has made and deletes the entries below index keep.
func (s *store) compact(snap *raftpb.Snapshot, firstKept uint64) error {
	err := s.db.Update(func(tx *bbolt.Tx) error {
		if err := putMeta(tx, snapshotKey, snap); err != nil {
			return err
		}
		return deleteEntries(tx.Bucket(logBucket), 0, firstKept)
	})
	if err != nil {
		return fmt.Errorf("council: the log can't be compacted: %w", err)
	}
	return nil
}

// deleteEntries deletes the entries with an index of at least from and less than end.
func deleteEntries(log *bbolt.Bucket, from, end uint64) error {
	var keys [][]byte // collected first, as deleting by a cursor may skip the following key
	c := log.Cursor()
	for k, _ := c.Seek(entryKey(from)); k != nil && binary.BigEndian.Uint64(k) < end; k, _ = c.Next() {
		keys = append(keys, k)
	}
	for _, k := range keys {
		if err := log.Delete(k); err != nil {
			return err
		}
	}
	return nil
}

// loadRaftStorage reads the snapshot, the log and the hard state into raft's in-memory storage. It
// returns an error that wraps ErrCorrupt if a checksum does not match or entries are missing.
func (s *store) loadRaftStorage() (*raft.MemoryStorage, error) {
	mem := raft.NewMemoryStorage()
	err := s.db.View(func(tx *bbolt.Tx) error {
		get := func(key []byte, m proto.Message) (bool, error) {
			v := tx.Bucket(metaBucket).Get(key)
			if v == nil {
				return false, nil
			}
			b, err := verifyChecksum(v)
			if err == nil {
				err = proto.Unmarshal(b, m)
			}
			return true, err
		}
		var snap raftpb.Snapshot
		if found, err := get(snapshotKey, &snap); err != nil {
			return fmt.Errorf("read the snapshot: %w", err)
		} else if found {
			if err := mem.ApplySnapshot(&snap); err != nil {
				return err
			}
		}
		first := snap.GetMetadata().GetIndex()
		var entries []*raftpb.Entry
		err := tx.Bucket(logBucket).ForEach(func(k, v []byte) error {
			b, err := verifyChecksum(v)
			if err != nil {
				return fmt.Errorf("read entry %d: %w", binary.BigEndian.Uint64(k), err)
			}
			e := new(raftpb.Entry)
			if err := proto.Unmarshal(b, e); err != nil {
				return fmt.Errorf("decode entry %d: %w", binary.BigEndian.Uint64(k), err)
			}
			if e.GetIndex() <= first {
				return nil
			}
			if want := first + 1 + uint64(len(entries)); e.GetIndex() != want {
				return fmt.Errorf("entry %d is missing: %w", want, ErrCorrupt)
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
		if found, err := get(hardStateKey, hard); err != nil {
			return fmt.Errorf("read the hard state: %w", err)
		} else if found {
			if last, _ := mem.LastIndex(); hard.GetCommit() > last {
				return fmt.Errorf("the commit index is %d, but the log ends at %d: %w", hard.GetCommit(), last, ErrCorrupt)
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
