package keep

// Place is where a body is kept.
type Place uint8

const (
	Memory  Place = iota
	File          // what has come lies in a file, what comes goes there
	Nowhere       // it goes straight on to one server
	Refused       // there is no room for it, not even on its way
)

var places = [...]string{"memory", "file", "not kept", "refused"}

// String is the place's name.
func (p Place) String() string { return places[p] }

// Body is what the Keeper knows of one body.
type Body struct {
	Owner any // whoever hosts it; not looked at here

	class, tenant int
	place         Place
	size          int64 // that has come
	mem, disk     int64 // booked
	file, stream  bool  // booked
	noFile        bool  // its file can't be written
	once          bool  // another tier keeps it
	whole, gone   bool
	moving        bool
	readers       int
	leaving       int64 // bytes that readers still hold in memory after a move
	at            int   // in Keeper.movable; -1: not there
	counted       bool
}

// Place is where it is kept now.
func (b *Body) Place() Place { return b.place }

// Size is how many bytes have come.
func (b *Body) Size() int64 { return b.size }

// Count is what became of the bodies of a class.
type Count struct {
	Memory, File, Nowhere, Refused int64 // bodies, by the last place that they had
	Moved                          int64 // from memory to a file while whole
	RetriedMemory, RetriedFile     int64 // further readings, by what they read from
	UnkeptRefused, UnkeptFailed    int64 // calls that had one attempt for lack of a body
	Bytes                          int64 // in memory now
	DiskBytes                      int64
}

// Use is one amount: now, the most it was, and its limit.
type Use struct{ Now, Most, Limit int64 }

// Usage is all amounts.
type Usage struct{ Memory, Disk, Files, Streams Use }

// Keeper decides for all bodies of one process. It holds what Limits say at most.
type Keeper struct {
	lim     Limits
	mem     account
	disk    account
	files   account
	streams account
	counts  []Count
	movable []*Body // whole, in memory and long enough: one entry each
	pending int64   // bytes of those that are moving
}

// New returns a Keeper. Errors name the limit.
func New(l Limits) (*Keeper, error) {
	if err := l.Check(); err != nil {
		return nil, err
	}
	return &Keeper{
		lim:     l,
		mem:     newAccount(l.Memory, &l),
		disk:    newAccount(l.Disk, &l),
		files:   newAccount(l.Files, &l),
		streams: newAccount(l.Streams, &l),
		counts:  make([]Count, len(l.Shares)),
	}, nil
}

// Begin takes a body that begins. announced is its stated length, -1 if none is. once
// says that the tier before keeps it: here only a short one is kept. usable says
// whether files may be made now. It books nothing.
func (k *Keeper) Begin(class, tenant int, announced int64, once, usable bool) *Body {
	b := &Body{class: class, tenant: tenant, at: -1, once: once}
	switch {
	case once && announced > k.lim.MoveLeast:
		b.place = Nowhere
	case announced > k.lim.FileMost || announced > k.lim.MemoryMost && !k.hasFiles(usable):
		b.place = Nowhere
	case announced > k.lim.MemoryMost:
		b.place = File
	}
	return b
}

func (k *Keeper) hasFiles(usable bool) bool { return usable && k.lim.Disk > 0 }

// Put books n more bytes of a body, which have come or will be read next, and says
// where they go. A place is never better than the one before, but for a body whose
// file can't be written (see Unwritten). At Refused nothing is booked.
func (k *Keeper) Put(b *Body, n int64, usable bool) Place {
	if b.once && b.size+n > k.lim.MoveLeast {
		b.place = Nowhere
	}
	if b.place == Memory && (b.size+n > k.lim.MemoryMost || !k.mem.take(b.class, b.tenant, n)) {
		b.place = File
	} else if b.place == Memory {
		b.mem += n
	}
	if b.place == File && !k.toFile(b, n, usable) {
		b.place = Nowhere
		// Its file can't take more. Guards a body that is all but whole against losing
		// its retries while there is room in memory.
		if b.noFile && b.size+n <= k.lim.FileMost && k.mem.take(b.class, b.tenant, n) {
			b.place = File
			b.mem += n
		}
	}
	if b.place == Nowhere && !b.stream {
		if b.stream = k.streams.take(b.class, b.tenant, 1); !b.stream {
			b.place = Refused
			return Refused
		}
	}
	b.size += n
	return b.place
}

// Trim takes back n bytes of the last Put, which did not come.
func (k *Keeper) Trim(b *Body, n int64) {
	b.size -= n
	switch {
	case b.place == Memory || b.place == File && b.noFile:
		k.Written(b, n)
	case b.place == File:
		k.disk.give(b.class, b.tenant, n)
		b.disk -= n
	}
}

// toFile books n bytes in a file. The first time it books the file itself, and room
// for what lies in memory, which moves there.
func (k *Keeper) toFile(b *Body, n int64, usable bool) bool {
	if b.noFile || b.size+n > k.lim.FileMost {
		return false
	}
	if !b.file {
		if !k.hasFiles(usable) || !k.files.take(b.class, b.tenant, 1) {
			return false
		}
		if !k.disk.take(b.class, b.tenant, n+b.mem) {
			k.files.give(b.class, b.tenant, 1)
			return false
		}
		b.file = true
		b.disk += n + b.mem
		return true
	}
	if !k.disk.take(b.class, b.tenant, n) {
		return false
	}
	b.disk += n
	return true
}

// Written says that n bytes which lay in memory lie in the file now, and are held in
// memory by nobody.
func (k *Keeper) Written(b *Body, n int64) {
	k.mem.give(b.class, b.tenant, n)
	b.mem -= n
}

// Unwritten says that n bytes booked in the file can't be written there, nor can any
// that come later, and asks where these go: on in memory, nowhere, or refused. With
// held they lie in memory already, booked there.
func (k *Keeper) Unwritten(b *Body, n int64, held bool) Place {
	k.disk.give(b.class, b.tenant, n)
	b.disk -= n
	b.noFile = true
	if held {
		return b.place
	}
	b.size -= n
	return k.Put(b, n, false)
}

// Holds says whether the last bytes of a body whose place is File went to memory.
func (b *Body) Holds() bool { return b.noFile }

// Passed says that bytes of a body that is not kept have gone on to its server.
func (k *Keeper) Passed(b *Body, mem, disk int64) {
	if b.gone {
		return
	}
	k.mem.give(b.class, b.tenant, mem)
	k.disk.give(b.class, b.tenant, disk)
	b.mem -= mem
	b.disk -= disk
}

// Whole says that all of a body has come.
func (k *Keeper) Whole(b *Body) {
	b.whole = true
	k.count(b)
	if b.place == Memory && b.size >= k.lim.MoveLeast {
		b.at = len(k.movable)
		k.movable = append(k.movable, b)
	}
}

func (k *Keeper) count(b *Body) {
	if b.counted {
		return
	}
	b.counted = true
	c := &k.counts[b.class]
	switch b.place {
	case Memory:
		c.Memory++
	case File:
		c.File++
	case Nowhere:
		c.Nowhere++
	case Refused:
		c.Refused++
	}
}

// Read says that an attempt begins to read a body; again, that it is a further one.
func (k *Keeper) Read(b *Body, again bool) {
	b.readers++
	if again {
		k.Again(b)
	}
}

// Again counts a further attempt.
func (k *Keeper) Again(b *Body) {
	if b.disk > 0 {
		k.counts[b.class].RetriedFile++
	} else {
		k.counts[b.class].RetriedMemory++
	}
}

// Unread says that a reading has ended.
func (k *Keeper) Unread(b *Body) {
	b.readers--
	k.settle(b)
}

// settle gives back what nobody holds any more.
func (k *Keeper) settle(b *Body) {
	if b.readers > 0 {
		return
	}
	if b.leaving > 0 {
		k.Written(b, b.leaving)
		b.leaving = 0
	}
	if !b.gone || b.moving {
		return
	}
	k.mem.give(b.class, b.tenant, b.mem)
	k.disk.give(b.class, b.tenant, b.disk)
	b.mem, b.disk = 0, 0
	if b.file {
		k.files.give(b.class, b.tenant, 1)
	}
	if b.stream {
		k.streams.give(b.class, b.tenant, 1)
	}
	b.file, b.stream = false, false
}

// Drop ends a body. What it holds is given back when no reading and no move holds it.
func (k *Keeper) Drop(b *Body) {
	if b.gone {
		return
	}
	b.gone = true
	k.count(b)
	k.unlist(b)
	k.settle(b)
}

func (k *Keeper) unlist(b *Body) {
	if b.at < 0 {
		return
	}
	last := k.movable[len(k.movable)-1]
	k.movable[b.at], last.at = last, b.at
	k.movable[len(k.movable)-1] = nil
	k.movable = k.movable[:len(k.movable)-1]
	b.at = -1
}

// Move names the body that should move from memory to a file now, nil if none should:
// memory is above its high mark, or was and is not back at the low one. It is of a
// class that borrows, if there is one, and then the longest; not one that is being
// read. Its file and its room there are booked. The caller tells Moved.
func (k *Keeper) Move(usable bool) *Body {
	if !k.mem.tight || k.mem.total-k.pending <= k.mem.low || !k.hasFiles(usable) {
		return nil
	}
	var best *Body
	for _, b := range k.movable {
		if b.readers == 0 && (best == nil || k.before(b, best)) && k.files.fits(b.class, b.tenant, 1) && k.disk.fits(b.class, b.tenant, b.mem) {
			best = b
		}
	}
	if best == nil || !k.toFile(best, 0, usable) {
		return nil
	}
	best.moving = true
	k.pending += best.mem
	k.unlist(best)
	return best
}

func (k *Keeper) before(a, b *Body) bool {
	if x, y := k.mem.borrows(a.class), k.mem.borrows(b.class); x != y {
		return x
	}
	return a.size > b.size
}

// Moved says that a body lies in its file now, or with ok false that it can't and lies
// in memory as before. What readings hold that began before is given back with them.
func (k *Keeper) Moved(b *Body, ok bool) {
	b.moving = false
	k.pending -= b.mem
	if ok {
		b.place, b.leaving = File, b.mem
		k.counts[b.class].Moved++
	} else {
		k.disk.give(b.class, b.tenant, b.disk)
		k.files.give(b.class, b.tenant, 1)
		b.disk, b.file = 0, false // it is not chosen again: it has left the list
	}
	k.settle(b)
}

// Ended says how a call with a body that was not kept ended without an answer.
func (k *Keeper) Ended(b *Body, refused bool) {
	if b.place != Nowhere && b.place != Refused {
		return
	}
	if refused {
		k.counts[b.class].UnkeptRefused++
	} else {
		k.counts[b.class].UnkeptFailed++
	}
}

// Count is what became of the bodies of a class.
func (k *Keeper) Count(class int) Count {
	c := k.counts[class]
	c.Bytes, c.DiskBytes = k.mem.used[class], k.disk.used[class]
	return c
}

// Usage is all amounts as they are now.
func (k *Keeper) Usage() Usage {
	use := func(a *account) Use { return Use{a.total, a.most, a.limit} }
	return Usage{use(&k.mem), use(&k.disk), use(&k.files), use(&k.streams)}
}

// Tight says that memory is above its high mark, or was and is not back at the low one.
func (k *Keeper) Tight() bool { return k.mem.tight }

// Moving says that a body is on its way from memory to a file.
func (b *Body) Moving() bool { return b.moving }
