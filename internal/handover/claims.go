package handover

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// FolderPath returns the folder that the processes of the sidecar with the given listen address share
// below the folder for temporary files.
func FolderPath(tmp, listen string) string {
	return filepath.Join(tmp, "fawnrock-"+strings.Map(func(r rune) rune {
		if r == '/' || r == 0 {
			return '_'
		}
		return r
	}, listen))
}

const (
	claimsFile  = "claims"
	claimsMagic = "fawnrock claims 1"
	keyBytes    = 16
	keyOffset   = 32 // in the header
	ownerOffset = 48 // in the header, of the number that the last process took
	headerBytes = 64

	claimBuckets = 1024
	bucketSlots  = 32
	slotBytes    = 8
	bucketBytes  = bucketSlots * slotBytes
	// maxProcesses is how many processes at a time have slots of their own in each bucket.
	maxProcesses = 4

	ownerBits = 12
	maxOwner  = 1<<ownerBits - 1
	stampBits = 20
	maxStamp  = 1<<stampBits - 1
	claimTTL  = 60 // seconds
)

// Claims is the table of the IDs that all processes of a sidecar have claimed, in a file of their
// folder. It has a bounded number of slots: a claim is remembered for claimTTL, unless so many follow
// that its slot is needed. It is read and written with calls that return errors, as a full or broken
// disk must not end the process; a claim that can't be written counts as granted. Its methods may be
// called from any goroutine.
type Claims struct {
	file  *os.File
	key   [keyBytes]byte
	owner uint64

	mu sync.Mutex // held while this process changes the table
}

// claim is the content of a slot: part of a hash of the ID, the process and the time.
type claim uint64

func newClaim(tag uint32, owner, stamp uint64) claim {
	return claim(uint64(tag)<<(ownerBits+stampBits) | owner<<stampBits | stamp)
}

func (c claim) tag() uint32   { return uint32(c >> (ownerBits + stampBits)) }
func (c claim) owner() uint64 { return uint64(c) >> stampBits & maxOwner }
func (c claim) stamp() uint64 { return uint64(c) & maxStamp }

// age returns how long ago the claim was made, in seconds.
func (c claim) age(now uint64) uint64 { return (now - c.stamp()) & maxStamp }

// isFree reports whether the slot may be used for another claim.
func (c claim) isFree(now uint64) bool { return c == 0 || c.age(now) > claimTTL }

// OpenClaims opens the table in a folder and creates both if needed. It blocks for up to lockTimeout.
func OpenClaims(dir string) (*Claims, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	file, err := os.OpenFile(filepath.Join(dir, claimsFile), os.O_RDWR|os.O_CREATE|syscall.O_NOFOLLOW|syscall.O_CLOEXEC, 0o600)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	claims := &Claims{file: file}
	if err := claims.register(); err != nil {
		file.Close()
		return nil, fmt.Errorf("handover: claims: %w", err)
	}
	return claims, nil
}

// register reads or writes the header of the file and takes the number of this process.
func (c *Claims) register() error {
	for end := time.Now().Add(lockTimeout); ; time.Sleep(pollInterval) {
		err := syscall.Flock(int(c.file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		if err == nil {
			break
		}
		if time.Now().After(end) {
			return err
		}
	}
	defer syscall.Flock(int(c.file.Fd()), syscall.LOCK_UN)
	header := make([]byte, headerBytes)
	_, err := c.file.ReadAt(header, 0)
	if err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	if err != nil || !strings.HasPrefix(string(header), claimsMagic) {
		header = append([]byte(claimsMagic), make([]byte, headerBytes-len(claimsMagic))...)
		rand.Read(header[keyOffset : keyOffset+keyBytes])
		if err := c.file.Truncate(0); err != nil {
			return err
		}
		if err := c.file.Truncate(headerBytes + claimBuckets*bucketBytes); err != nil {
			return err
		}
	}
	copy(c.key[:], header[keyOffset:])
	c.owner = binary.NativeEndian.Uint64(header[ownerOffset:])%maxOwner + 1
	binary.NativeEndian.PutUint64(header[ownerOffset:], c.owner)
	_, err = c.file.WriteAt(header, 0)
	return err
}

// Close closes the file. The claims stay.
func (c *Claims) Close() error { return c.file.Close() }

// locate returns the offset of the bucket for an ID, and its tag.
func (c *Claims) locate(id string) (offset int64, tag uint32) {
	sum := sha256.Sum256(append(c.key[:], id...))
	bucket := binary.BigEndian.Uint32(sum[:]) % claimBuckets
	return headerBytes + int64(bucket)*bucketBytes, binary.BigEndian.Uint32(sum[4:])
}

// bucket holds the claims at an offset of the file.
type bucket [bucketSlots]claim

func (c *Claims) read(offset int64) (b bucket, err error) {
	var data [bucketBytes]byte
	if _, err = c.file.ReadAt(data[:], offset); err != nil {
		return b, err
	}
	for slot := range b {
		b[slot] = claim(binary.NativeEndian.Uint64(data[slot*slotBytes:]))
	}
	return b, nil
}

func (c *Claims) write(offset int64, slot int, value claim) error {
	var data [slotBytes]byte
	binary.NativeEndian.PutUint64(data[:], uint64(value))
	_, err := c.file.WriteAt(data[:], offset+int64(slot*slotBytes))
	return err
}

// find returns the slot with the tag that is, or is not, of the given owner, or -1.
func (b *bucket) find(tag uint32, owner uint64, isOwn bool, now uint64) int {
	for slot, held := range b {
		if !held.isFree(now) && held.tag() == tag && (held.owner() == owner) == isOwn {
			return slot
		}
	}
	return -1
}

// oldest returns the slot of the owner to use for another claim.
func (b *bucket) oldest(owner, now uint64) int {
	oldest := -1
	for slot := int(owner % maxProcesses); slot < bucketSlots; slot += maxProcesses {
		if b[slot].isFree(now) {
			return slot
		}
		if oldest < 0 || b[slot].age(now) > b[oldest].age(now) {
			oldest = slot
		}
	}
	return oldest
}

// Claim claims an ID for this process, and reports false if another process has claimed it. Of two
// processes that claim the same ID at the same time, at most one is granted it.
func (c *Claims) Claim(id string) bool {
	isGranted, err := c.tryClaim(id)
	if err != nil {
		slog.Error("an id can't be claimed among the processes of this sidecar", "err", err)
		return true
	}
	return isGranted
}

func (c *Claims) tryClaim(id string) (isGranted bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	offset, tag := c.locate(id)
	now := monotonicSeconds()
	held, err := c.read(offset)
	if err != nil || held.find(tag, c.owner, false, now) >= 0 {
		return false, err
	}
	slot := held.find(tag, c.owner, true, now)
	if slot < 0 {
		slot = held.oldest(c.owner, now)
	}
	if err := c.write(offset, slot, newClaim(tag, c.owner, now&maxStamp)); err != nil {
		return false, err
	}
	// Another process may have claimed the ID since the bucket was read.
	if held, err = c.read(offset); err != nil || held.find(tag, c.owner, false, now) < 0 {
		return err == nil, err
	}
	return false, c.write(offset, slot, 0)
}

// Forget gives up a claim of this process.
func (c *Claims) Forget(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	offset, tag := c.locate(id)
	held, err := c.read(offset)
	if err == nil {
		if slot := held.find(tag, c.owner, true, monotonicSeconds()); slot >= 0 {
			err = c.write(offset, slot, 0)
		}
	}
	if err != nil {
		slog.Error("a claim of an id can't be given up", "err", err)
	}
}

// MonotonicNow returns a time that is the same in all processes of a machine and is not stepped.
func MonotonicNow() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &now); err != nil {
		return 0
	}
	return time.Duration(now.Nano())
}

func monotonicSeconds() uint64 { return uint64(MonotonicNow() / time.Second) }
