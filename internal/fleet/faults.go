package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"chalkrack/internal/admin"
	"chalkrack/internal/standin"
)

// playFaults starts and ends the faults of the schedule at their times. It blocks until ctx ends.
func (f *Fleet) playFaults(ctx context.Context) error {
	type step struct {
		at    time.Duration
		index int
		begin bool
	}
	var steps []step
	for index, fault := range f.schedule.Faults {
		steps = append(steps, step{time.Duration(fault.At), index, true})
		if fault.For > 0 {
			steps = append(steps, step{time.Duration(fault.At + fault.For), index, false})
		}
	}
	slices.SortStableFunc(steps, func(a, b step) int { return int(a.at - b.at) })
	for _, next := range steps {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(next.at - f.history.now()):
		}
		fault := f.schedule.Faults[next.index]
		kind := EventFaultEnd
		f.mu.Lock()
		if next.begin {
			kind = EventFaultStart
			f.activeFaults[next.index] = fault
		} else {
			delete(f.activeFaults, next.index)
		}
		f.mu.Unlock()
		f.history.add(Event{Kind: kind, Detail: fault.String()})
		if err := f.applyFault(fault, next.begin); err != nil {
			return err
		}
	}
	<-ctx.Done()
	// Stopped and starved sidecars continue, because they must answer the calls they accepted.
	for _, p := range f.sidecars {
		p.stopStarving()
		p.signal(sigCont)
	}
	return nil
}

// String describes a fault on one line.
func (f Fault) String() string {
	text := string(f.Kind)
	if f.On != "" {
		text += " " + f.On
	}
	if f.From != "" {
		text += " " + f.From + " to " + f.To
	}
	if f.OneWay {
		text += ", one way"
	}
	if f.Kind == AdminCall || f.Kind == Marker || f.Kind == SetStatus {
		text += " " + f.Name + " " + f.Argument
	}
	return text
}

// applyFault starts a fault, or ends it if begin is false. Faults of links must already be added to
// activeFaults, or deleted from it.
func (f *Fleet) applyFault(fault Fault, begin bool) error {
	if slices.Contains(linkFaultKinds, fault.Kind) {
		return f.applyLinks(fault)
	}
	if fault.Kind == Marker {
		return nil
	}
	parties, err := f.schedule.selector().resolve(fault.On)
	if err != nil {
		return err
	}
	for _, party := range parties {
		switch party.role() {
		case "sidecar":
			err = f.applySidecar(fault, f.findSidecar(party), begin)
		case "server":
			err = f.applyServer(fault, party, begin)
		default:
			f.applyDiscovery(fault, begin)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// applySidecar starts or ends a fault of a sidecar process. Terminate, Upgrade and AdminCall run in
// the background, and their ends have no effect.
func (f *Fleet) applySidecar(fault Fault, sidecar *process, begin bool) error {
	record := func(detail string) { f.history.add(Event{Kind: EventProcess, Party: sidecar.party, Detail: detail}) }
	switch {
	case fault.Kind == Stop && begin:
		record("stopped")
		sidecar.signal(syscall.SIGSTOP)
	case fault.Kind == Stop:
		record("goes on")
		sidecar.signal(syscall.SIGCONT)
	case fault.Kind == Starve && begin:
		sidecar.startStarving(fault.Share)
	case fault.Kind == Starve:
		sidecar.stopStarving()
	case fault.Kind == AdminCall && begin:
		f.wg.Go(func() {
			var answer any
			request := strings.ReplaceAll(fault.Argument, "@SOCKET@", sidecar.socketPath())
			err := admin.Do(context.Background(), sidecar.socketPath(), fault.Name, json.RawMessage(request), &answer)
			detail := fmt.Sprintf("deed %s: done", fault.Name)
			if err != nil {
				detail = fmt.Sprintf("deed %s: %v", fault.Name, err)
			}
			record(detail)
		})
	case fault.Kind == AdminCall:
	case fault.Kind == Terminate && begin:
		f.wg.Go(func() {
			record("told to end")
			sidecar.terminate()
			sidecar.start()
			sidecar.recordServing()
		})
	case fault.Kind == Terminate, fault.Kind == Upgrade && !begin:
	case fault.Kind == Upgrade:
		f.wg.Go(func() {
			detail := "upgraded"
			if err := sidecar.upgrade(); err != nil {
				detail = "not upgraded: " + err.Error()
			}
			record(detail)
		})
	case fault.Kind == Kill && begin, fault.Kind == BreakConfig && begin:
		record("killed")
		sidecar.kill()
		if fault.Kind == BreakConfig {
			return sidecar.breakConfig(true)
		}
	case fault.Kind == BreakConfig:
		if err := sidecar.breakConfig(false); err != nil {
			return err
		}
		return sidecar.restart()
	default:
		return sidecar.restart()
	}
	return nil
}

// applyServer starts or ends a fault of a stand-in server.
func (f *Fleet) applyServer(fault Fault, party Party, begin bool) error {
	server, index := f.findServer(party)
	if fault.Kind == Kill {
		if begin {
			server.Kill()
		}
		for _, link := range f.links {
			if link.To != party {
				continue
			}
			if begin {
				link.Refuse()
			} else if err := link.StopRefusing(); err != nil {
				return err
			}
		}
		if !begin {
			if err := server.Restart(); err != nil {
				return err
			}
			f.updateDiscovery(index, "up", true)
		}
		return nil
	}
	if fault.Kind == SetStatus {
		if begin {
			return f.setStatus(server, index, fault.Argument)
		}
		return nil
	}
	if fault.Kind == Freeze {
		if begin {
			server.Freeze()
		} else {
			server.Thaw()
		}
		return nil
	}
	act := standin.Action{}
	if begin {
		switch fault.Kind {
		case Fail:
			act.Kind = standin.Fail
		case Decline:
			act.Kind = standin.Decline
		case Slow:
			act.Delay = time.Duration(fault.Factor * float64(f.schedule.WorkTime))
		}
	}
	server.SetScript(f.script(act))
	return nil
}

// setStatus changes the status of a server in discovery. A draining server records from now on the
// time for which it has been draining when a request arrives. Status "new" restarts the server.
func (f *Fleet) setStatus(server *standin.Server, index int, status string) error {
	switch status {
	case "draining":
		server.RecordDrain()
	case "up":
		server.RecordUndrain()
	case "new":
		if err := server.Restart(); err != nil {
			return err
		}
		f.updateDiscovery(index, "up", true)
		return nil
	}
	f.updateDiscovery(index, status, false)
	return nil
}

// updateDiscovery changes the entry of a server in the discovery of each sidecar, which lists the
// address of its own link to the server.
func (f *Fleet) updateDiscovery(index int, status string, restarted bool) {
	linksPerSidecar := len(f.site.Servers) + 1
	for i, discovery := range f.discoveries {
		endpoint := f.site.Endpoint(index, status)
		endpoint.Address = f.links[i*linksPerSidecar+index].Addr()
		if !restarted {
			endpoint.SinceMs = 0
		}
		discovery.Change(endpoint)
	}
}

// applyDiscovery starts or ends a fault of the discovery of all sidecars.
func (f *Fleet) applyDiscovery(fault Fault, begin bool) {
	for _, discovery := range f.discoveries {
		switch {
		case fault.Kind == Kill:
			discovery.SetDown(begin)
		case begin:
			discovery.SetDelay(time.Duration(fault.AddedDelay))
		default:
			discovery.SetDelay(0)
		}
	}
}

// applyLinks recomputes the impairments of each link that a fault affects from all active faults,
// because other faults may affect the same link.
func (f *Fleet) applyLinks(fault Fault) error {
	f.mu.Lock()
	active := make([]Fault, 0, len(f.activeFaults))
	for _, a := range f.activeFaults {
		if slices.Contains(linkFaultKinds, a.Kind) {
			active = append(active, a)
		}
	}
	f.mu.Unlock()
	selected := make(map[string]map[Party]bool)
	partySet := func(selection string) map[Party]bool {
		if selected[selection] == nil {
			parties, _ := f.schedule.selector().resolve(selection)
			selected[selection] = make(map[Party]bool)
			for _, p := range parties {
				selected[selection][p] = true
			}
		}
		return selected[selection]
	}
	directions := func(a Fault, from, to Party) (outwards, backwards bool) {
		outwards = partySet(a.From)[from] && partySet(a.To)[to]
		backwards = partySet(a.From)[to] && partySet(a.To)[from]
		if !a.OneWay {
			outwards = outwards || backwards
			backwards = outwards
		}
		return outwards, backwards
	}
	var wait sync.WaitGroup
	for _, link := range f.links {
		if outwards, backwards := directions(fault, link.From, link.To); !outwards && !backwards {
			continue
		}
		var impairments [2]impairment
		reset := false
		for _, a := range active {
			outwards, backwards := directions(a, link.From, link.To)
			for dir, affected := range [2]bool{outwards, backwards} {
				if affected {
					impairments[dir].add(a)
				}
			}
			reset = reset || a.Kind == Reset && (outwards || backwards)
		}
		wait.Go(func() {
			link.setImpairments(func(current *[2]impairment) { *current = impairments })
			if fault.Kind == Reset {
				link.SetReset(reset)
			}
		})
	}
	for _, link := range f.noteLinks {
		outwards, _ := directions(fault, link.From, link.To)
		if !outwards {
			continue
		}
		var combined impairment
		for _, a := range active {
			if outwards, _ := directions(a, link.From, link.To); outwards {
				combined.add(a)
			}
		}
		link.setImpairment(func(current *impairment) { *current = combined })
	}
	wait.Wait()
	return nil
}

// add combines the effect of a fault with the impairment of a direction.
func (imp *impairment) add(fault Fault) {
	switch fault.Kind {
	case Cut:
		imp.cut = true
	case Delay:
		imp.delay += time.Duration(fault.AddedDelay)
		imp.jitter += time.Duration(fault.DelaySpread)
	case Trickle:
		if imp.bytesPerSecond == 0 || fault.BytesPerSecond < imp.bytesPerSecond {
			imp.bytesPerSecond = fault.BytesPerSecond
		}
	case Loss:
		imp.lossShare = 1 - (1-imp.lossShare)*(1-fault.Share)
	case Duplicate:
		imp.duplicateShare = max(imp.duplicateShare, fault.Share)
	case Reorder:
		imp.reorderShare = max(imp.reorderShare, fault.Share)
	case Hold:
		imp.hold = true
	}
}
