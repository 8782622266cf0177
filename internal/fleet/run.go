package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"

	"chalkrack/internal/standin"
)

const sigCont = syscall.SIGCONT

const (
	// starvationCheckInterval is the time between checks whether the machine lets this program
	// run. A check that is late by more than maxWakeupDelay is recorded.
	starvationCheckInterval = 20 * time.Millisecond
	maxWakeupDelay          = 100 * time.Millisecond
	// maxOpenCalls limits the open calls of one client. Calls beyond it are recorded as unsent.
	maxOpenCalls = 256
)

// Run starts a fleet, plays the schedule on it, ends it and returns the history. binary is the path
// of the built daemon.
func Run(ctx context.Context, schedule *Schedule, binary string) (*History, error) {
	fleet, err := New(ctx, schedule, binary)
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	if err := fleet.Play(ctx); err != nil {
		return nil, err
	}
	return fleet.history, nil
}

// Play sends the load and plays the faults of the schedule. It blocks until all calls have ended.
// Times in the history are relative to the start of Play. It may be called once.
func (f *Fleet) Play(ctx context.Context) error {
	ctx, f.cancel = context.WithCancel(ctx)
	for _, sidecar := range f.sidecars {
		sidecar.ctx, sidecar.wg = ctx, &f.wg
	}
	f.history.mu.Lock()
	created := f.history.started
	f.history.started = time.Now()
	for n := range f.history.Events { // events before the load get negative times
		f.history.Events[n].At -= f.history.started.Sub(created)
	}
	f.history.mu.Unlock()
	length := time.Duration(f.schedule.Length)
	loadCtx, stopLoad := context.WithTimeout(ctx, length)
	defer stopLoad()
	f.wg.Go(func() { f.watchStarvation(loadCtx) })
	var clients sync.WaitGroup
	for n := range f.sidecars {
		clients.Go(func() { f.runClient(loadCtx, ctx, n) })
	}
	err := f.playFaults(loadCtx)
	clients.Wait()
	f.cancel()
	f.wg.Wait()
	f.collectRecords()
	if err == nil && loadCtx.Err() != context.DeadlineExceeded {
		err = loadCtx.Err()
	}
	return err
}

// watchStarvation records the times at which the machine did not let this program run. Delays at
// these times are no evidence against a sidecar.
func (f *Fleet) watchStarvation(ctx context.Context) {
	last := time.Now()
	for ctx.Err() == nil {
		time.Sleep(starvationCheckInterval)
		if delay := time.Since(last) - starvationCheckInterval; delay > maxWakeupDelay {
			f.history.add(Event{Kind: EventStarved, Elapsed: delay})
		}
		last = time.Now()
	}
}

// runClient is the application beside the n-th sidecar. It sends calls at random times, without
// waiting for the answers to earlier calls, and returns when all have ended. It sends until loadCtx
// ends; runCtx aborts open calls.
func (f *Fleet) runClient(loadCtx, runCtx context.Context, n int) {
	rate := f.schedule.Rate
	if n >= len(f.sidecars)-f.schedule.QuietSidecars {
		rate /= 20
	}
	rng := rand.New(rand.NewPCG(f.schedule.Seed, uint64(n)<<8|1))
	mix := standin.NewMix(f.schedule.Seed<<8+uint64(n), f.calledClasses()...)
	client := standin.NewClient(f.sidecars[n].clientAddr)
	defer client.Close()
	var openCalls sync.WaitGroup
	defer openCalls.Wait()
	slots := make(chan struct{}, maxOpenCalls)
	next := time.Now()
	for {
		next = next.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		select {
		case <-loadCtx.Done():
			return
		case <-time.After(time.Until(next)):
		}
		call := mix.Next()
		call.ID = fmt.Sprintf("%d-%s", n+1, call.ID)
		select {
		case slots <- struct{}{}:
		default:
			f.history.add(Event{Kind: EventCall, Party: f.sidecars[n].party, ID: call.ID, Class: call.Class.Name, Verdict: "unsent"})
			continue
		}
		openCalls.Go(func() {
			defer func() { <-slots }()
			start := f.history.now()
			ctx, cancel := context.WithTimeout(runCtx, call.Deadline+time.Duration(f.schedule.LingerTime))
			defer cancel()
			reply := client.Do(ctx, call)
			f.history.add(Event{At: start, Kind: EventCall, Party: f.sidecars[n].party, ID: call.ID, Class: call.Class.Name, Verdict: reply.Verdict(), Elapsed: reply.Elapsed, Deadline: call.Deadline})
		})
	}
}

// calledClasses returns the classes that clients call, with the shares that the operators specify.
func (f *Fleet) calledClasses() (classes []standin.Class) {
	shares := map[string]float64{"status-check": 0.52, "id-register": 0.27, "activate": 0.21}
	for _, class := range f.schedule.classes() {
		if f.schedule.Class == "" || f.schedule.Class == class.Name {
			classes = append(classes, standin.Class{Name: class.Name, Effect: class.Effect, Share: shares[class.Name], Deadline: class.Deadline})
		}
	}
	return classes
}

// collectRecords adds the records of servers, links and processes to the history and finishes it.
func (f *Fleet) collectRecords() {
	f.history.ClassEffects = make(map[string]string)
	effectNames := map[standin.Effect]string{standin.Safe: "safe", standin.Keyed: "keyed", standin.Unsafe: "unsafe"}
	for _, c := range f.schedule.classes() {
		f.history.ClassEffects[c.Name] = effectNames[c.Effect]
	}
	zones := make(map[string]string)
	for n, s := range f.site.Servers {
		zones[s.Name()] = f.schedule.serverZone(n)
		if s.Fallen() {
			f.history.Fallen = append(f.history.Fallen, s.Name())
		}
	}
	for _, arrival := range f.site.Ledger.Arrivals() {
		f.history.add(Event{At: arrival.At.Sub(f.history.started), Kind: EventArrival, Party: serverParty(arrival.Server), ID: arrival.ID, Class: arrival.Class, Zone: zones[arrival.Server], Executed: arrival.ActionKind == standin.Serve || arrival.ActionKind == standin.Fail, DrainingFor: arrival.DrainingFor})
	}
	for _, link := range f.links {
		link.mu.Lock()
		for _, request := range link.requests {
			server := strings.TrimPrefix(string(link.To), "server:")
			f.history.add(Event{At: request.firstChunk.Sub(f.history.started), Kind: EventSend, Party: link.From, ID: request.id, Elapsed: request.lastChunk.Sub(request.firstChunk), Zone: zones[server], Detail: server, Verdict: map[bool]string{true: "doubtful"}[request.maybeQueued]})
		}
		link.mu.Unlock()
	}
	f.history.EffectCounts = make(map[string]int)
	for id, c := range f.site.Ledger.RequestCounts() {
		if c.Effects > 1 {
			f.history.EffectCounts[id] = c.Effects
		}
	}
	for n, sidecar := range f.sidecars {
		var count, bytes int64
		for _, link := range f.noteLinks {
			if link.From == sidecar.party {
				c, b := link.Sent()
				count, bytes = count+c, bytes+b
			}
		}
		f.history.add(Event{Kind: EventMeasurement, Party: sidecar.party, Detail: "notes", Value: float64(count)})
		f.history.add(Event{Kind: EventMeasurement, Party: sidecar.party, Detail: "note bytes", Value: float64(bytes)})
		f.history.add(Event{Kind: EventMeasurement, Party: f.sidecars[n].party, Detail: "resident bytes", Value: float64(sidecar.peakMemoryBytes())})
	}
	f.history.finish()
}
