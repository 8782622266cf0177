package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"chalkrack/internal/admin"
	"chalkrack/internal/standin"
)

const syscallCont = syscall.SIGCONT

const (
	// lagEach is how often the run looks whether the machine lets it run, lagMost how late
	// it may be.
	lagEach = 20 * time.Millisecond
	lagMost = 100 * time.Millisecond
	// openMost bounds the calls that one client has open at once; what comes beyond is not
	// sent and counted.
	openMost = 256
)

// Run plays a schedule on a fleet of its own, and returns what was seen.
func Run(ctx context.Context, s *Schedule, binary string) (*History, error) {
	f, err := New(ctx, s, binary)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	if err := f.Play(ctx); err != nil {
		return nil, err
	}
	return f.h, nil
}

// Play sends load and plays the faults, and ends when all calls have. Times of the history
// count from its beginning.
func (f *Fleet) Play(ctx context.Context) error {
	ctx, f.cancel = context.WithCancel(ctx)
	for _, p := range f.cars {
		p.ctx, p.wg = ctx, &f.wg
	}
	f.h.mu.Lock()
	was := f.h.began
	f.h.began = time.Now()
	for n := range f.h.Events { // what came before the load has times below 0
		f.h.Events[n].At -= f.h.began.Sub(was)
	}
	f.h.mu.Unlock()
	length := time.Duration(f.s.Length)
	load, stop := context.WithTimeout(ctx, length)
	defer stop()
	f.wg.Go(func() { f.watchLag(load) })
	var clients sync.WaitGroup
	for n := range f.cars {
		clients.Go(func() { f.client(load, ctx, n) })
	}
	err := f.faults(load)
	clients.Wait()
	f.cancel()
	f.wg.Wait()
	f.gather()
	if err == nil && load.Err() != context.DeadlineExceeded {
		err = load.Err()
	}
	return err
}

// watchLag writes down when the machine kept this program from running: what then came
// late proves nothing.
func (f *Fleet) watchLag(ctx context.Context) {
	last := time.Now()
	for ctx.Err() == nil {
		time.Sleep(lagEach)
		if late := time.Since(last) - lagEach; late > lagMost {
			f.h.add(Event{Kind: Lagged, Took: late})
		}
		last = time.Now()
	}
}

// client is the application beside the n-th sidecar: it asks at random times and does not
// wait for one answer before it asks again.
func (f *Fleet) client(load, all context.Context, n int) {
	rate := f.s.Rate
	if n >= len(f.cars)-f.s.Quiet {
		rate /= 20
	}
	rng := rand.New(rand.NewPCG(f.s.Seed, uint64(n)<<8|1))
	mix := standin.NewMix(f.s.Seed<<8+uint64(n), f.mixed()...)
	c := standin.NewClient(f.cars[n].listen)
	defer c.Close()
	var open sync.WaitGroup
	defer open.Wait()
	room := make(chan struct{}, openMost)
	next := time.Now()
	for {
		next = next.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		select {
		case <-load.Done():
			return
		case <-time.After(time.Until(next)):
		}
		a := mix.Next()
		a.ID = fmt.Sprintf("%d-%s", n+1, a.ID)
		select {
		case room <- struct{}{}:
		default:
			f.h.add(Event{Kind: Called, Who: f.cars[n].party, ID: a.ID, Class: a.Class.Name, Verdict: "unsent"})
			continue
		}
		open.Go(func() {
			defer func() { <-room }()
			at := f.h.now()
			ctx, cancel := context.WithTimeout(all, a.Deadline+time.Duration(f.s.Linger))
			defer cancel()
			r := c.Do(ctx, a)
			f.h.add(Event{At: at, Kind: Called, Who: f.cars[n].party, ID: a.ID, Class: a.Class.Name, Verdict: r.Verdict(), Took: r.Took, Wait: a.Deadline})
		})
	}
}

// mixed are the classes that clients call, with the shares of the operators' brief.
func (f *Fleet) mixed() (all []standin.Class) {
	share := map[string]float64{"status-check": 0.52, "id-register": 0.27, "activate": 0.21}
	for _, c := range f.s.classes() {
		if f.s.Class == "" || f.s.Class == c.Name {
			all = append(all, standin.Class{Name: c.Name, Effect: c.Effect, Share: share[c.Name], Deadline: c.Deadline})
		}
	}
	return all
}

// faults begins and ends the schedule's faults at their times.
func (f *Fleet) faults(ctx context.Context) error {
	type step struct {
		at    time.Duration
		n     int
		begin bool
	}
	var steps []step
	for n, x := range f.s.Faults {
		steps = append(steps, step{time.Duration(x.At), n, true})
		if x.For > 0 {
			steps = append(steps, step{time.Duration(x.At + x.For), n, false})
		}
	}
	slices.SortStableFunc(steps, func(a, b step) int { return int(a.at - b.at) })
	for _, s := range steps {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(s.at - f.h.now()):
		}
		x := f.s.Faults[s.n]
		kind := Mended
		f.mu.Lock()
		if s.begin {
			kind = Faulted
			f.active[s.n] = x
		} else {
			delete(f.active, s.n)
		}
		f.mu.Unlock()
		f.h.add(Event{Kind: kind, What: x.String()})
		if err := f.apply(x, s.begin); err != nil {
			return err
		}
	}
	<-ctx.Done()
	// What is stopped or cut off goes on: what was taken has to be answered.
	for _, p := range f.cars {
		p.unslice()
		p.signal(syscallCont)
	}
	return nil
}

// String is a fault in a line.
func (x Fault) String() string {
	text := string(x.Kind)
	if x.On != "" {
		text += " " + x.On
	}
	if x.From != "" {
		text += " " + x.From + " to " + x.To
	}
	if x.OneWay {
		text += ", one way"
	}
	if x.Kind == Deed || x.Kind == Mark || x.Kind == List {
		text += " " + x.Name + " " + x.With
	}
	return text
}

func (f *Fleet) apply(x Fault, begin bool) error {
	if slices.Contains(linkKinds, x.Kind) {
		return f.applyLinks(x)
	}
	if x.Kind == Mark {
		return nil
	}
	all, err := f.s.names().pick(x.On)
	if err != nil {
		return err
	}
	for _, p := range all {
		switch p.kind() {
		case "sidecar":
			err = f.applySidecar(x, f.car(p), begin)
		case "server":
			err = f.applyServer(x, p, begin)
		default:
			f.applyDiscovery(x, begin)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) applySidecar(x Fault, p *process, begin bool) error {
	note := func(what string) { f.h.add(Event{Kind: Process, Who: p.party, What: what}) }
	switch {
	case x.Kind == Stop && begin:
		note("stopped")
		p.signal(syscall.SIGSTOP)
	case x.Kind == Stop:
		note("goes on")
		p.signal(syscall.SIGCONT)
	case x.Kind == Starve && begin:
		p.slices(x.Share)
	case x.Kind == Starve:
		p.unslice()
	case x.Kind == Deed && begin:
		f.wg.Go(func() {
			var answer any
			with := strings.ReplaceAll(x.With, "@SOCKET@", p.socket())
			err := admin.Do(context.Background(), p.socket(), x.Name, json.RawMessage(with), &answer)
			what := fmt.Sprintf("deed %s: done", x.Name)
			if err != nil {
				what = fmt.Sprintf("deed %s: %v", x.Name, err)
			}
			note(what)
		})
	case x.Kind == Deed:
	case x.Kind == Term && begin:
		f.wg.Go(func() {
			note("told to end")
			p.term()
			p.start()
			p.serves()
		})
	case x.Kind == Term, x.Kind == Upgrade && !begin:
	case x.Kind == Upgrade:
		f.wg.Go(func() {
			what := "upgraded"
			if err := p.upgrade(); err != nil {
				what = "not upgraded: " + err.Error()
			}
			note(what)
		})
	case x.Kind == Kill && begin, x.Kind == Spoil && begin:
		note("killed")
		p.kill()
		if x.Kind == Spoil {
			return p.spoil(true)
		}
	case x.Kind == Spoil:
		if err := p.spoil(false); err != nil {
			return err
		}
		return p.again()
	default:
		return p.again()
	}
	return nil
}

func (f *Fleet) applyServer(x Fault, who Party, begin bool) error {
	s, n := f.server(who)
	if x.Kind == Kill {
		if begin {
			s.Kill()
		}
		for _, l := range f.links {
			if l.To != who {
				continue
			}
			if begin {
				l.Refuse()
			} else if err := l.Accept(); err != nil {
				return err
			}
		}
		if !begin {
			if err := s.Restart(); err != nil {
				return err
			}
			f.tell(n, "up", true)
		}
		return nil
	}
	if x.Kind == List {
		if begin {
			return f.list(s, n, x.With)
		}
		return nil
	}
	if x.Kind == Freeze {
		if begin {
			s.Freeze()
		} else {
			s.Thaw()
		}
		return nil
	}
	a := standin.Act{}
	if begin {
		switch x.Kind {
		case Fail:
			a.Kind = standin.Fail
		case Decline:
			a.Kind = standin.Decline
		case Slow:
			a.Delay = time.Duration(x.Factor * float64(f.s.Work))
		}
	}
	s.Do(f.script(a))
	return nil
}

// list has discovery say what is to be said of a server. One that drains books from now on
// what still comes.
func (f *Fleet) list(s *standin.Server, n int, status string) error {
	switch status {
	case "draining":
		s.NoteDrain()
	case "up":
		s.NoteUndrain()
	case "new":
		if err := s.Restart(); err != nil {
			return err
		}
		f.tell(n, "up", true)
		return nil
	}
	f.tell(n, status, false)
	return nil
}

// tell has discovery say of a server to each sidecar what it is, by its own address.
func (f *Fleet) tell(n int, status string, restarted bool) {
	each := len(f.site.Servers) + 1
	for i, d := range f.finders {
		e := f.site.Endpoint(n, status)
		e.Address = f.links[i*each+n].Addr()
		if !restarted {
			e.SinceMs = 0
		}
		d.Change(e)
	}
}

func (f *Fleet) applyDiscovery(x Fault, begin bool) {
	for _, d := range f.finders {
		switch {
		case x.Kind == Kill:
			d.Down(begin)
		case begin:
			d.Lag(time.Duration(x.By))
		default:
			d.Lag(0)
		}
	}
}

// applyLinks works out anew what holds of each link that a fault touches: others may still
// hold of it.
func (f *Fleet) applyLinks(x Fault) error {
	f.mu.Lock()
	active := make([]Fault, 0, len(f.active))
	for _, a := range f.active {
		if slices.Contains(linkKinds, a.Kind) {
			active = append(active, a)
		}
	}
	f.mu.Unlock()
	in := make(map[string]map[Party]bool)
	set := func(text string) map[Party]bool {
		if in[text] == nil {
			all, _ := f.s.names().pick(text)
			in[text] = make(map[Party]bool)
			for _, p := range all {
				in[text][p] = true
			}
		}
		return in[text]
	}
	hit := func(a Fault, from, to Party) (there, back bool) {
		there = set(a.From)[from] && set(a.To)[to]
		back = set(a.From)[to] && set(a.To)[from]
		if !a.OneWay {
			there = there || back
			back = there
		}
		return there, back
	}
	var wait sync.WaitGroup
	for _, l := range f.links {
		if there, back := hit(x, l.From, l.To); !there && !back {
			continue
		}
		var ways [2]way
		reset := false
		for _, a := range active {
			there, back := hit(a, l.From, l.To)
			for dir, on := range [2]bool{there, back} {
				if on {
					ways[dir].take(a)
				}
			}
			reset = reset || a.Kind == Reset && (there || back)
		}
		wait.Go(func() {
			l.change(func(w *[2]way) { *w = ways })
			if x.Kind == Reset {
				l.SetReset(reset)
			}
		})
	}
	for _, n := range f.notes {
		there, _ := hit(x, n.From, n.To)
		if !there {
			continue
		}
		var now way
		for _, a := range active {
			if there, _ := hit(a, n.From, n.To); there {
				now.take(a)
			}
		}
		n.change(func(w *way) { *w = now })
	}
	wait.Wait()
	return nil
}

// take adds what a fault does to a direction.
func (w *way) take(a Fault) {
	switch a.Kind {
	case Cut:
		w.cut = true
	case Delay:
		w.delay += time.Duration(a.By)
		w.spread += time.Duration(a.Spread)
	case Trickle:
		if w.rate == 0 || a.Rate < w.rate {
			w.rate = a.Rate
		}
	case Loss:
		w.loss = 1 - (1-w.loss)*(1-a.Share)
	case Double:
		w.double = max(w.double, a.Share)
	case Reorder:
		w.reorder = max(w.reorder, a.Share)
	case Hold:
		w.hold = true
	}
}

// gather writes down what servers and links saw.
func (f *Fleet) gather() {
	f.h.Effects = make(map[string]string)
	words := map[standin.Effect]string{standin.Safe: "safe", standin.Keyed: "keyed", standin.Unsafe: "unsafe"}
	for _, c := range f.s.classes() {
		f.h.Effects[c.Name] = words[c.Effect]
	}
	zone := make(map[string]string)
	for n, s := range f.site.Servers {
		zone[s.Name()] = f.s.zoneOf(n)
		if s.Fallen() {
			f.h.Fallen = append(f.h.Fallen, s.Name())
		}
	}
	for _, a := range f.site.Ledger.Log() {
		f.h.add(Event{At: a.At.Sub(f.h.began), Kind: Arrived, Who: serverParty(a.Server), ID: a.ID, Class: a.Class, Zone: zone[a.Server], Ran: a.Act == standin.Serve || a.Act == standin.Fail, Drained: a.Draining})
	}
	for _, l := range f.links {
		l.mu.Lock()
		for _, x := range l.sends {
			name := strings.TrimPrefix(string(l.To), "server:")
			f.h.add(Event{At: x.first.Sub(f.h.began), Kind: Sent, Who: l.From, ID: x.id, Took: x.last.Sub(x.first), Zone: zone[name], What: name, Verdict: map[bool]string{true: "doubtful"}[x.doubt]})
		}
		l.mu.Unlock()
	}
	f.h.Runs = make(map[string]int)
	for id, c := range f.site.Ledger.IDs() {
		if c.Effects > 1 {
			f.h.Runs[id] = c.Effects
		}
	}
	for n, p := range f.cars {
		var count, bytes int64
		for _, l := range f.notes {
			if l.From == p.party {
				c, b := l.Sent()
				count, bytes = count+c, bytes+b
			}
		}
		f.h.add(Event{Kind: Figure, Who: p.party, What: "notes", Value: float64(count)})
		f.h.add(Event{Kind: Figure, Who: p.party, What: "note bytes", Value: float64(bytes)})
		f.h.add(Event{Kind: Figure, Who: f.cars[n].party, What: "resident bytes", Value: float64(p.resident())})
	}
	f.h.end()
}
