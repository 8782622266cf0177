package load

import (
	"fmt"
	"maps"
	"runtime"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Histograms count microseconds from 1 to an hour. Those of a class have three digits,
// so percentiles are within a thousandth; those of a second two.
const (
	longest     = int64(time.Hour / time.Microsecond)
	classDigits = 3
	secDigits   = 2
)

func micros(d time.Duration) int64 { return min(max(int64(d/time.Microsecond), 1), longest) }

// secondNow is a second whose calls may still be under way.
type secondNow struct {
	n                                   int
	due, sent, drops                    int64
	served, late, refused, failed, none int64
	latency, lag                        *hdrhistogram.Histogram
	open                                int64 // calls due in it that have not ended
	cpu                                 time.Duration
}

type classNow struct {
	sent, served, late, refused, failed, none, retries int64
	drops                                              map[string]int64
	worth, earned                                      float64
	latency, naive                                     *hdrhistogram.Histogram
}

// recorder counts. It keeps a histogram for each second in which calls are under way,
// and a row for each that is over.
type recorder struct {
	classes []Class
	limits  Limits

	mu      sync.Mutex
	begin   time.Time
	by      []*classNow
	all     *hdrhistogram.Histogram // from the intended time
	naive   *hdrhistogram.Histogram // from the sending
	lag     *hdrhistogram.Histogram
	seconds map[int]*secondNow
	rows    []Second
	spare   []*hdrhistogram.Histogram
	used    time.Duration // CPU up to the last turn
	first   time.Duration
	nsent   int64
	ndone   int64
}

func newRecorder(classes []Class, limits Limits) *recorder {
	r := &recorder{classes: classes, limits: limits, seconds: make(map[int]*secondNow)}
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, longest, classDigits) }
	r.all, r.naive, r.lag = h(), h(), h()
	for range classes {
		r.by = append(r.by, &classNow{latency: h(), naive: h(), drops: make(map[string]int64)})
	}
	if r.limits.CPU == 0 {
		r.limits.CPU = 0.9 * float64(runtime.GOMAXPROCS(0))
	}
	return r
}

func (r *recorder) start(begin time.Time) {
	r.begin, r.used = begin, cpu()
	r.first = r.used
}

func (r *recorder) second(at time.Time) *secondNow {
	n := max(0, int(at.Sub(r.begin)/time.Second))
	s := r.seconds[n]
	if s == nil {
		h := func() *hdrhistogram.Histogram {
			if k := len(r.spare); k > 0 {
				h := r.spare[k-1]
				r.spare = r.spare[:k-1]
				h.Reset()
				return h
			}
			return hdrhistogram.New(1, longest, secDigits)
		}
		s = &secondNow{n: n, latency: h(), lag: h()}
		r.seconds[n] = s
	}
	return s
}

func (r *recorder) sent(due, at time.Time, class int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nsent++
	r.by[class].sent++
	r.by[class].worth += r.classes[class].Worth
	lag := micros(at.Sub(due))
	r.lag.RecordValue(lag)
	s := r.second(due)
	s.due++
	s.sent++
	s.open++
	s.lag.RecordValue(lag)
}

// dropped counts what a limit of the generator's kept from being sent, or from ending
// as it would have. One that was sent already is not counted as sent then.
func (r *recorder) dropped(due time.Time, class int, why string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.by[class].drops[why]++
	s := r.second(due)
	s.drops++
	if why == "descriptors or ports" {
		s.open--
		r.ndone++
	} else {
		s.due++
	}
}

func (r *recorder) retried(class int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.by[class].retries++
}

// done books how a call ended to its first try.
func (r *recorder) done(j *job, reply Reply, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ndone++
	c, s := r.by[j.class], r.second(j.due)
	s.open--
	took := at.Sub(j.due)
	switch reply.Status {
	case 200:
		c.served++
		s.served++
		if took <= time.Duration(j.call.Class.Aim) {
			c.earned += j.call.Class.Worth
		} else {
			c.late++
			s.late++
		}
	case 0:
		c.none++
		s.none++
	case 429, 503:
		c.refused++
		s.refused++
	default:
		c.failed++
		s.failed++
	}
	// A call without an answer has waited too: leaving it out would hide a stall.
	for _, h := range []*hdrhistogram.Histogram{r.all, c.latency, s.latency} {
		h.RecordValue(micros(took))
	}
	naive := at.Sub(j.sent)
	r.naive.RecordValue(micros(naive))
	c.naive.RecordValue(micros(naive))
}

func (r *recorder) counts() (sent, done int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.nsent, r.ndone
}

// turn ends the seconds that are over, and returns the last row.
func (r *recorder) turn(now time.Time) (last Second) {
	r.mu.Lock()
	defer r.mu.Unlock()
	over := int(now.Sub(r.begin)/time.Second) - 1
	used := cpu()
	if over >= 0 {
		if s := r.seconds[over]; s != nil { // else nothing was due in it
			s.cpu += used - r.used
		}
		r.used = used
	}
	for _, n := range slices.Sorted(maps.Keys(r.seconds)) {
		if s := r.seconds[n]; n <= over && s.open == 0 {
			r.row(s)
		}
	}
	if len(r.rows) > 0 {
		last = r.rows[len(r.rows)-1]
	}
	return last
}

func (r *recorder) row(s *secondNow) {
	row := Second{Second: s.n, Due: s.due, Sent: s.sent, Dropped: s.drops, Served: s.served, Late: s.late, Refused: s.refused, Failed: s.failed, None: s.none,
		CPU: s.cpu.Seconds()}
	if s.latency.TotalCount() > 0 {
		row.P50, row.P99, row.Most = ms(s.latency.ValueAtQuantile(50)), ms(s.latency.ValueAtQuantile(99)), ms(s.latency.Max())
	}
	if s.lag.TotalCount() > 0 {
		row.LagP99, row.LagMost = ms(s.lag.ValueAtQuantile(99)), ms(s.lag.Max())
	}
	switch {
	case s.drops > 0:
		row.Limit = "calls were dropped"
	case row.LagP99 > float64(time.Duration(r.limits.Lag))/1e6:
		row.Limit = "sends left late"
	case row.CPU > r.limits.CPU:
		row.Limit = "out of CPU"
	}
	r.rows = append(r.rows, row)
	r.spare = append(r.spare, s.latency, s.lag)
	delete(r.seconds, s.n)
}

func ms(us int64) float64 { return float64(us) / 1000 }

// report closes the books.
func (r *recorder) report(took time.Duration, cut bool) *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range slices.Sorted(maps.Keys(r.seconds)) {
		r.row(r.seconds[n])
	}
	slices.SortFunc(r.rows, func(a, b Second) int { return a.Second - b.Second })
	rep := &Report{Version: ReportVersion, Took: took.Seconds(), Cut: cut, Seconds: r.rows, Lag: quantiles(r.lag), Latency: quantiles(r.all), Naive: quantiles(r.naive),
		CPU: (cpu() - r.first).Seconds()}
	worth, earned := 0.0, 0.0
	for n, c := range r.by {
		row := ClassReport{Class: r.classes[n].Name, Sent: c.sent, Served: c.served, Late: c.late, Refused: c.refused, Failed: c.failed, None: c.none, Retries: c.retries,
			Latency: quantiles(c.latency), Naive: quantiles(c.naive)}
		for _, why := range slices.Sorted(maps.Keys(c.drops)) {
			row.Dropped += c.drops[why]
			rep.Drops = append(rep.Drops, fmt.Sprintf("%s: %d by the limit of %s", row.Class, c.drops[why], why))
		}
		if c.worth > 0 {
			row.Earned = c.earned / c.worth
		}
		worth, earned = worth+c.worth, earned+c.earned
		rep.Sent += c.sent
		rep.Dropped += row.Dropped
		rep.Classes = append(rep.Classes, row)
	}
	if worth > 0 {
		rep.Earned = earned / worth
	}
	rep.Holds = true
	for _, s := range rep.Seconds {
		if s.Limit != "" {
			rep.Holds, rep.LimitFrom, rep.Limit = false, s.Second, s.Limit
			break
		}
	}
	return rep
}

// quantileList are those that reports tell.
var quantileList = []float64{50, 90, 99, 99.9, 99.99, 100}

func quantiles(h *hdrhistogram.Histogram) (q Quantiles) {
	if h.TotalCount() == 0 {
		return q
	}
	for n, p := range quantileList {
		*q.at(n) = ms(h.ValueAtQuantile(p))
	}
	q.Mean = h.Mean() / 1000
	return q
}
