package bodypolicy

import "slices"

// Place is where a body is kept. A body only moves to higher places.
type Place uint8

const (
	Memory  Place = iota
	File          // in a file, or on the way there from memory
	NotKept       // not kept: streamed to one server
	Refused       // no capacity even for streaming it
)

var placeNames = [...]string{"memory", "file", "not kept", "refused"}

// String returns the name of the place.
func (p Place) String() string { return placeNames[p] }

// Body is the Keeper's record of one body.
type Body struct {
	Owner any // set and used only by the caller

	class, tenant         int
	place                 Place
	size                  int64 // bytes received or booked for the next read
	memBytes, diskBytes   int64 // bytes booked
	hasFile, hasStream    bool  // whether a file and a stream are booked
	fileFailed            bool  // its file cannot be written
	keptElsewhere         bool  // the previous tier keeps it
	isComplete, isDropped bool
	isMoving              bool
	readers               int
	heldAfterMove         int64 // bytes that readers still hold in memory after a move to a file
	movableIndex          int   // index in Keeper.movable; -1: not in it
	isCounted             bool
}

// Place returns where the body is kept now.
func (b *Body) Place() Place { return b.place }

// Size returns the number of bytes received.
func (b *Body) Size() int64 { return b.size }

// Count holds the totals of the bodies of a class.
type Count struct {
	Memory, File, NotKept, Refused int64 // bodies by their final place
	Moved                          int64 // bodies moved from memory to a file after they were complete
	RetriedMemory, RetriedFile     int64 // further attempts by where the body was read from
	UnkeptRefused, UnkeptFailed    int64 // calls limited to one attempt because the body was not kept, that got no answer
	Bytes                          int64 // bytes in memory now
	DiskBytes                      int64 // bytes in files now
}

// Use describes one amount: the current use, its maximum so far, and the limit.
type Use struct{ Now, Max, Limit int64 }

// Usage holds the use of all amounts.
type Usage struct{ Memory, Disk, Files, Streams Use }

// Keeper decides where the bodies of one process are kept, within Limits. It is not safe for
// concurrent use.
type Keeper struct {
	limits      Limits // Shares has one more element than that of New, for classes that New did not know
	mem         account
	disk        account
	files       account
	streams     account
	counts      []Count
	movable     []*Body // complete bodies in memory of MoveLeast bytes or more, each once
	movingBytes int64   // bytes in memory of bodies that are moving to files
}

// New returns a Keeper, or an error that names the invalid limit. Bodies of classes outside Shares,
// which a later configuration has added, have a common account without a share.
func New(l Limits) (*Keeper, error) {
	if err := l.Validate(); err != nil {
		return nil, err
	}
	l.Shares = append(slices.Clone(l.Shares), 0)
	return &Keeper{
		limits:  l,
		mem:     newAccount(l.Memory, &l),
		disk:    newAccount(l.Disk, &l),
		files:   newAccount(l.Files, &l),
		streams: newAccount(l.Streams, &l),
		counts:  make([]Count, len(l.Shares)),
	}, nil
}

// Begin registers a new body. announced is its stated length, or -1 if there is none.
// keptElsewhere states that the previous tier keeps the body, so that only a short one is kept
// here. canCreate states whether files may be created now. Begin books nothing.
func (k *Keeper) Begin(class, tenant int, announced int64, keptElsewhere, canCreate bool) *Body {
	b := &Body{class: k.account(class), tenant: tenant, movableIndex: -1, keptElsewhere: keptElsewhere}
	switch {
	case keptElsewhere && announced > k.limits.MoveLeast:
		b.place = NotKept
	case announced > k.limits.FileMost || announced > k.limits.MemoryMost && !k.canCreateFile(canCreate):
		b.place = NotKept
	case announced > k.limits.MemoryMost:
		b.place = File
	}
	return b
}

// account returns the index of the account of a class. Classes outside the shares of New have the
// last one in common.
func (k *Keeper) account(class int) int {
	if last := len(k.limits.Shares) - 1; class < 0 || class > last {
		return last
	}
	return class
}

// canCreateFile reports whether files are configured and may be created now.
func (k *Keeper) canCreateFile(canCreate bool) bool { return canCreate && k.limits.Disk > 0 }

// Put books n more bytes of a body, which have been received or will be read next, and returns
// where they go. The place never moves back toward Memory; only the bytes of a body whose file
// cannot be written go to memory again (see RecordFileFailure). If the place is Refused, nothing is
// booked.
func (k *Keeper) Put(b *Body, n int64, canCreate bool) Place {
	if b.keptElsewhere && b.size+n > k.limits.MoveLeast {
		b.place = NotKept
	}
	if b.place == Memory && (b.size+n > k.limits.MemoryMost || !k.mem.book(b.class, b.tenant, n)) {
		b.place = File
	} else if b.place == Memory {
		b.memBytes += n
	}
	if b.place == File && !k.bookInFile(b, n, canCreate) {
		b.place = NotKept
		// The file cannot take more. Continue in memory if possible, so that a body that is
		// nearly complete does not lose its retries.
		if b.fileFailed && b.size+n <= k.limits.FileMost && k.mem.book(b.class, b.tenant, n) {
			b.place = File
			b.memBytes += n
		}
	}
	if b.place == NotKept && !b.hasStream {
		if b.hasStream = k.streams.book(b.class, b.tenant, 1); !b.hasStream {
			b.place = Refused
			return Refused
		}
	}
	b.size += n
	return b.place
}

// ReleaseUnreceived releases n bytes of the last Put that were not received.
func (k *Keeper) ReleaseUnreceived(b *Body, n int64) {
	b.size -= n
	switch {
	case b.place == Memory || b.place == File && b.fileFailed:
		k.RecordWritten(b, n)
	case b.place == File:
		k.disk.release(b.class, b.tenant, n)
		b.diskBytes -= n
	}
}

// bookInFile books n bytes in the body's file. The first call also books the file itself, and
// space for the bytes in memory, which move there.
func (k *Keeper) bookInFile(b *Body, n int64, canCreate bool) bool {
	if b.fileFailed || b.size+n > k.limits.FileMost {
		return false
	}
	if !b.hasFile {
		if !k.canCreateFile(canCreate) || !k.files.book(b.class, b.tenant, 1) {
			return false
		}
		if !k.disk.book(b.class, b.tenant, n+b.memBytes) {
			k.files.release(b.class, b.tenant, 1)
			return false
		}
		b.hasFile = true
		b.diskBytes += n + b.memBytes
		return true
	}
	if !k.disk.book(b.class, b.tenant, n) {
		return false
	}
	b.diskBytes += n
	return true
}

// RecordWritten records that n bytes were moved from memory to the file and are no longer held in
// memory.
func (k *Keeper) RecordWritten(b *Body, n int64) {
	k.mem.release(b.class, b.tenant, n)
	b.memBytes -= n
}

// RecordFileFailure records that n bytes booked in the file, and all later ones, cannot be written
// there, and returns the new place of these bytes. If inMemory is set, they are already in
// memory and booked there.
func (k *Keeper) RecordFileFailure(b *Body, n int64, inMemory bool) Place {
	k.disk.release(b.class, b.tenant, n)
	b.diskBytes -= n
	b.fileFailed = true
	if inMemory {
		return b.place
	}
	b.size -= n
	return k.Put(b, n, false)
}

// FileFailed reports whether the latest bytes of a body whose place is File went to memory.
func (b *Body) FileFailed() bool { return b.fileFailed }

// RecordForwarded records that bytes of a body that is not kept have been sent to its server.
func (k *Keeper) RecordForwarded(b *Body, mem, disk int64) {
	if b.isDropped {
		return
	}
	k.mem.release(b.class, b.tenant, mem)
	k.disk.release(b.class, b.tenant, disk)
	b.memBytes -= mem
	b.diskBytes -= disk
}

// Complete records that a body has been received completely.
func (k *Keeper) Complete(b *Body) {
	b.isComplete = true
	k.countOnce(b)
	if b.place == Memory && b.size >= k.limits.MoveLeast {
		b.movableIndex = len(k.movable)
		k.movable = append(k.movable, b)
	}
}

// countOnce adds a body to the totals of its class, once.
func (k *Keeper) countOnce(b *Body) {
	if b.isCounted {
		return
	}
	b.isCounted = true
	c := &k.counts[b.class]
	switch b.place {
	case Memory:
		c.Memory++
	case File:
		c.File++
	case NotKept:
		c.NotKept++
	case Refused:
		c.Refused++
	}
}

// BeginRead records that an attempt starts to read a body; again marks a further attempt.
func (k *Keeper) BeginRead(b *Body, again bool) {
	b.readers++
	if again {
		k.CountRetry(b)
	}
}

// CountRetry counts a further attempt by where its body is read from.
func (k *Keeper) CountRetry(b *Body) {
	if b.diskBytes > 0 {
		k.counts[b.class].RetriedFile++
	} else {
		k.counts[b.class].RetriedMemory++
	}
}

// EndRead records that an attempt has stopped reading a body.
func (k *Keeper) EndRead(b *Body) {
	b.readers--
	k.releaseUnheld(b)
}

// releaseUnheld releases the bookings that no reader, move or call needs any more.
func (k *Keeper) releaseUnheld(b *Body) {
	if b.readers > 0 {
		return
	}
	if b.heldAfterMove > 0 {
		k.RecordWritten(b, b.heldAfterMove)
		b.heldAfterMove = 0
	}
	if !b.isDropped || b.isMoving {
		return
	}
	k.mem.release(b.class, b.tenant, b.memBytes)
	k.disk.release(b.class, b.tenant, b.diskBytes)
	b.memBytes, b.diskBytes = 0, 0
	if b.hasFile {
		k.files.release(b.class, b.tenant, 1)
	}
	if b.hasStream {
		k.streams.release(b.class, b.tenant, 1)
	}
	b.hasFile, b.hasStream = false, false
}

// Drop ends the life of a body. Its bookings are released once no reader and no move needs
// them.
func (k *Keeper) Drop(b *Body) {
	if b.isDropped {
		return
	}
	b.isDropped = true
	k.countOnce(b)
	k.removeMovable(b)
	k.releaseUnheld(b)
}

// removeMovable removes a body from movable.
func (k *Keeper) removeMovable(b *Body) {
	if b.movableIndex < 0 {
		return
	}
	last := k.movable[len(k.movable)-1]
	k.movable[b.movableIndex], last.movableIndex = last, b.movableIndex
	k.movable[len(k.movable)-1] = nil
	k.movable = k.movable[:len(k.movable)-1]
	b.movableIndex = -1
}

// SelectForMove selects a body to be moved from memory to a file, and books the file and its
// space. It returns nil unless memory has reached its high mark and is not yet back at the low one.
// Bodies of classes that borrow come first, then longer ones; those being read are left out.
// The caller must report the outcome with RecordMove.
func (k *Keeper) SelectForMove(canCreate bool) *Body {
	if !k.mem.isTight || k.mem.total-k.movingBytes <= k.mem.low || !k.canCreateFile(canCreate) {
		return nil
	}
	var best *Body
	for _, b := range k.movable {
		if b.readers == 0 && (best == nil || k.movesBefore(b, best)) && k.files.fits(b.class, b.tenant, 1) && k.disk.fits(b.class, b.tenant, b.memBytes) {
			best = b
		}
	}
	if best == nil || !k.bookInFile(best, 0, canCreate) {
		return nil
	}
	best.isMoving = true
	k.movingBytes += best.memBytes
	k.removeMovable(best)
	return best
}

// movesBefore reports whether a should be moved to a file before b.
func (k *Keeper) movesBefore(a, b *Body) bool {
	if aBorrows, bBorrows := k.mem.isBorrowing(a.class), k.mem.isBorrowing(b.class); aBorrows != bBorrows {
		return aBorrows
	}
	return a.size > b.size
}

// RecordMove records whether a body was moved to its file; if ok is false, it stays in memory.
// Memory held by readers that started before the move is released when they end.
func (k *Keeper) RecordMove(b *Body, ok bool) {
	b.isMoving = false
	k.movingBytes -= b.memBytes
	if ok {
		b.place, b.heldAfterMove = File, b.memBytes
		k.counts[b.class].Moved++
	} else {
		k.disk.release(b.class, b.tenant, b.diskBytes)
		k.files.release(b.class, b.tenant, 1)
		b.diskBytes, b.hasFile = 0, false // not selected again, since it is no longer in movable
	}
	k.releaseUnheld(b)
}

// RecordEnd records that a call ended without an answer, refused or failed, if its body was not
// kept.
func (k *Keeper) RecordEnd(b *Body, refused bool) {
	if b.place != NotKept && b.place != Refused {
		return
	}
	if refused {
		k.counts[b.class].UnkeptRefused++
	} else {
		k.counts[b.class].UnkeptFailed++
	}
}

// Count returns the totals of the bodies of a class; those of all classes outside the shares of New
// are counted together.
func (k *Keeper) Count(class int) Count {
	class = k.account(class)
	c := k.counts[class]
	c.Bytes, c.DiskBytes = k.mem.used[class], k.disk.used[class]
	return c
}

// Usage returns the current use of all amounts.
func (k *Keeper) Usage() Usage {
	usageOf := func(a *account) Use { return Use{a.total, a.maxUsed, a.limit} }
	return Usage{usageOf(&k.mem), usageOf(&k.disk), usageOf(&k.files), usageOf(&k.streams)}
}

// IsTight reports whether memory has reached its high mark and is not yet back at the low one.
func (k *Keeper) IsTight() bool { return k.mem.isTight }

// IsMoving reports whether a body is being moved from memory to a file.
func (b *Body) IsMoving() bool { return b.isMoving }
