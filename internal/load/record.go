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

// Histograms count microseconds from 1 to one hour. Those of a class have three significant digits,
// so percentiles are exact to one thousandth; those of a second have two.
const (
	maxMicros    = int64(time.Hour / time.Microsecond)
	classDigits  = 3
	secondDigits = 2
)

// clampMicros returns d in microseconds, within the range of the histograms.
func clampMicros(d time.Duration) int64 { return min(max(int64(d/time.Microsecond), 1), maxMicros) }

// openSecond holds the counts of a second. Some of its calls may still be in progress.
type openSecond struct {
	index                                   int
	due, sent, dropped                      int64
	served, late, refused, failed, noAnswer int64
	latency, sendDelay                      *hdrhistogram.Histogram
	inProgress                              int64 // calls due in this second that have not ended
	cpuTime                                 time.Duration
}

// classCounts holds the counts of a class.
type classCounts struct {
	sent, served, late, refused, failed, noAnswer, retries int64
	dropped                                                map[string]int64 // by limit of the generator
	offeredWorth, earnedWorth                              float64
	latency, naive                                         *hdrhistogram.Histogram // as in recorder
}

// recorder counts the calls of a run. It keeps histograms for each second that still has calls in
// progress, and one row for each second that is complete. It is safe for concurrent use.
type recorder struct {
	classes []Class
	limits  Limits

	mu              sync.Mutex
	begin           time.Time
	perClass        []*classCounts
	latency         *hdrhistogram.Histogram // latency from the due time
	naive           *hdrhistogram.Histogram // latency from the last send
	sendDelay       *hdrhistogram.Histogram // delay of sends after their due time
	openSeconds     map[int]*openSecond
	rows            []Second
	spareHistograms []*hdrhistogram.Histogram // for reuse by later seconds
	cpuAtLastClose  time.Duration             // CPU time at the last call of closeSeconds
	cpuAtStart      time.Duration             // CPU time at the beginning
	sentCount       int64
	doneCount       int64
}

func newRecorder(classes []Class, limits Limits) *recorder {
	r := &recorder{classes: classes, limits: limits, openSeconds: make(map[int]*openSecond)}
	newHistogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxMicros, classDigits) }
	r.latency, r.naive, r.sendDelay = newHistogram(), newHistogram(), newHistogram()
	for range classes {
		r.perClass = append(r.perClass, &classCounts{latency: newHistogram(), naive: newHistogram(), dropped: make(map[string]int64)})
	}
	if r.limits.MaxCores == 0 {
		r.limits.MaxCores = 0.9 * float64(runtime.GOMAXPROCS(0))
	}
	return r
}

// start sets the beginning of the run.
func (r *recorder) start(begin time.Time) {
	r.begin, r.cpuAtLastClose = begin, processCPU()
	r.cpuAtStart = r.cpuAtLastClose
}

// second returns the counts of the second that a time lies in. The caller holds r.mu.
func (r *recorder) second(at time.Time) *openSecond {
	index := max(0, int(at.Sub(r.begin)/time.Second))
	second := r.openSeconds[index]
	if second == nil {
		newHistogram := func() *hdrhistogram.Histogram {
			if k := len(r.spareHistograms); k > 0 {
				h := r.spareHistograms[k-1]
				r.spareHistograms = r.spareHistograms[:k-1]
				h.Reset()
				return h
			}
			return hdrhistogram.New(1, maxMicros, secondDigits)
		}
		second = &openSecond{index: index, latency: newHistogram(), sendDelay: newHistogram()}
		r.openSeconds[index] = second
	}
	return second
}

// recordSent counts the first attempt of a call.
func (r *recorder) recordSent(due, sentAt time.Time, classIndex int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sentCount++
	r.perClass[classIndex].sent++
	r.perClass[classIndex].offeredWorth += r.classes[classIndex].Worth
	delayMicros := clampMicros(sentAt.Sub(due))
	r.sendDelay.RecordValue(delayMicros)
	second := r.second(due)
	second.due++
	second.sent++
	second.inProgress++
	second.sendDelay.RecordValue(delayMicros)
}

// recordDropped counts a call that a limit of the generator kept from being sent or completed. A
// call that failed for lack of descriptors or ports was counted as sent and due before, so only its
// end is counted here.
func (r *recorder) recordDropped(due time.Time, classIndex int, limit string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.perClass[classIndex].dropped[limit]++
	second := r.second(due)
	second.dropped++
	if limit == "descriptors or ports" {
		second.inProgress--
		r.doneCount++
	} else {
		second.due++
	}
}

// recordRetry counts a retry.
func (r *recorder) recordRetry(classIndex int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.perClass[classIndex].retries++
}

// recordDone counts the final reply of a call, in the second in which its first attempt was due.
func (r *recorder) recordDone(j *job, reply Reply, endedAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.doneCount++
	class, second := r.perClass[j.classIndex], r.second(j.due)
	second.inProgress--
	latency := endedAt.Sub(j.due)
	switch reply.Status {
	case 200:
		class.served++
		second.served++
		if latency <= time.Duration(j.call.Class.Aim) {
			class.earnedWorth += j.call.Class.Worth
		} else {
			class.late++
			second.late++
		}
	case 0:
		class.noAnswer++
		second.noAnswer++
	case 429, 503:
		class.refused++
		second.refused++
	default:
		class.failed++
		second.failed++
	}
	// Calls without an answer are included: leaving out their wait would hide a stall.
	for _, h := range []*hdrhistogram.Histogram{r.latency, class.latency, second.latency} {
		h.RecordValue(clampMicros(latency))
	}
	sinceLastSend := endedAt.Sub(j.sentAt)
	r.naive.RecordValue(clampMicros(sinceLastSend))
	class.naive.RecordValue(clampMicros(sinceLastSend))
}

// counts returns the numbers of calls sent and ended so far.
func (r *recorder) counts() (sent, done int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sentCount, r.doneCount
}

// closeSeconds adds the CPU time since its last call to the last complete second, makes rows of the
// complete seconds that have no calls in progress, and returns the last row.
func (r *recorder) closeSeconds(now time.Time) (lastRow Second) {
	r.mu.Lock()
	defer r.mu.Unlock()
	lastComplete := int(now.Sub(r.begin)/time.Second) - 1
	cpuTime := processCPU()
	if lastComplete >= 0 {
		if s := r.openSeconds[lastComplete]; s != nil { // nil if no call was due in it
			s.cpuTime += cpuTime - r.cpuAtLastClose
		}
		r.cpuAtLastClose = cpuTime
	}
	for _, n := range slices.Sorted(maps.Keys(r.openSeconds)) {
		if s := r.openSeconds[n]; n <= lastComplete && s.inProgress == 0 {
			r.closeSecond(s)
		}
	}
	if len(r.rows) > 0 {
		lastRow = r.rows[len(r.rows)-1]
	}
	return lastRow
}

// closeSecond makes a row of a second. If a limit of the generator makes the row's figures invalid,
// it sets Limit. The caller holds r.mu.
func (r *recorder) closeSecond(second *openSecond) {
	row := Second{Second: second.index, Due: second.due, Sent: second.sent, Dropped: second.dropped, Served: second.served, Late: second.late, Refused: second.refused, Failed: second.failed, NoAnswer: second.noAnswer,
		CPU: second.cpuTime.Seconds()}
	if second.latency.TotalCount() > 0 {
		row.P50, row.P99, row.Max = millis(second.latency.ValueAtQuantile(50)), millis(second.latency.ValueAtQuantile(99)), millis(second.latency.Max())
	}
	if second.sendDelay.TotalCount() > 0 {
		row.SendDelayP99, row.SendDelayMax = millis(second.sendDelay.ValueAtQuantile(99)), millis(second.sendDelay.Max())
	}
	switch {
	case second.dropped > 0:
		row.Limit = "calls were dropped"
	case row.SendDelayP99 > float64(time.Duration(r.limits.MaxSendDelay))/1e6:
		row.Limit = "sends left late"
	case row.CPU > r.limits.MaxCores:
		row.Limit = "out of CPU"
	}
	r.rows = append(r.rows, row)
	r.spareHistograms = append(r.spareHistograms, second.latency, second.sendDelay)
	delete(r.openSeconds, second.index)
}

// millis converts microseconds to milliseconds.
func millis(micros int64) float64 { return float64(micros) / 1000 }

// report closes all remaining seconds and returns the report of a run of the given duration.
func (r *recorder) report(duration time.Duration, cutShort bool) *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range slices.Sorted(maps.Keys(r.openSeconds)) {
		r.closeSecond(r.openSeconds[n])
	}
	slices.SortFunc(r.rows, func(a, b Second) int { return a.Second - b.Second })
	report := &Report{Version: ReportVersion, Took: duration.Seconds(), CutShort: cutShort, Seconds: r.rows, SendDelay: quantiles(r.sendDelay), Latency: quantiles(r.latency), Naive: quantiles(r.naive),
		CPU: (processCPU() - r.cpuAtStart).Seconds()}
	offeredWorth, earnedWorth := 0.0, 0.0
	for n, c := range r.perClass {
		row := ClassReport{Class: r.classes[n].Name, Sent: c.sent, Served: c.served, Late: c.late, Refused: c.refused, Failed: c.failed, NoAnswer: c.noAnswer, Retries: c.retries,
			Latency: quantiles(c.latency), Naive: quantiles(c.naive)}
		for _, limit := range slices.Sorted(maps.Keys(c.dropped)) {
			row.Dropped += c.dropped[limit]
			report.DropReasons = append(report.DropReasons, fmt.Sprintf("%s: %d by the limit of %s", row.Class, c.dropped[limit], limit))
		}
		if c.offeredWorth > 0 {
			row.Earned = c.earnedWorth / c.offeredWorth
		}
		offeredWorth, earnedWorth = offeredWorth+c.offeredWorth, earnedWorth+c.earnedWorth
		report.Sent += c.sent
		report.Dropped += row.Dropped
		report.Classes = append(report.Classes, row)
	}
	if offeredWorth > 0 {
		report.Earned = earnedWorth / offeredWorth
	}
	report.FiguresHold = true
	for _, s := range report.Seconds {
		if s.Limit != "" {
			report.FiguresHold, report.LimitFromSecond, report.Limit = false, s.Second, s.Limit
			break
		}
	}
	return report
}

// reportedPercentiles are the percentiles in reports, in the order of Quantiles.byIndex.
var reportedPercentiles = []float64{50, 90, 99, 99.9, 99.99, 100}

// quantiles returns the percentiles and the mean of a histogram in milliseconds, all 0 if it is
// empty.
func quantiles(histogram *hdrhistogram.Histogram) (summary Quantiles) {
	if histogram.TotalCount() == 0 {
		return summary
	}
	for n, percentile := range reportedPercentiles {
		*summary.byIndex(n) = millis(histogram.ValueAtQuantile(percentile))
	}
	summary.Mean = histogram.Mean() / 1000
	return summary
}
