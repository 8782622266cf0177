package load

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// ReportVersion is the version of the report's JSON format.
const ReportVersion = 1

// Quantiles summarises a latency distribution in milliseconds.
type Quantiles struct {
	Mean  float64 `json:"mean"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p99_9"`
	P9999 float64 `json:"p99_99"`
	Max   float64 `json:"most"`
}

// byIndex returns the field for reportedPercentiles[n].
func (q *Quantiles) byIndex(n int) *float64 {
	return []*float64{&q.P50, &q.P90, &q.P99, &q.P999, &q.P9999, &q.Max}[n]
}

// Second counts the outcomes of the calls that were due in one second of the run. Seconds are
// numbered from 0.
type Second struct {
	Second       int     `json:"second"`
	Due          int64   `json:"due"`
	Sent         int64   `json:"sent"`
	Dropped      int64   `json:"dropped"`
	Served       int64   `json:"served"`
	Late         int64   `json:"late"` // part of Served
	Refused      int64   `json:"refused"`
	Failed       int64   `json:"failed"`
	NoAnswer     int64   `json:"no_answer"` // calls without an answer
	P50          float64 `json:"p50_ms"`
	P99          float64 `json:"p99_ms"`
	Max          float64 `json:"most_ms"`
	SendDelayP99 float64 `json:"lag_p99_ms"` // delay of sends after their due time
	SendDelayMax float64 `json:"lag_most_ms"`
	CPU          float64 `json:"cpu"`             // cores used by the generator
	Limit        string  `json:"limit,omitempty"` // why the figures of this second are not valid; empty if they are
}

// ClassReport counts the outcomes of the calls of a class. A call and its retries count as one
// call.
type ClassReport struct {
	Class    string    `json:"class"`
	Sent     int64     `json:"sent"`
	Dropped  int64     `json:"dropped"`
	Served   int64     `json:"served"`
	Late     int64     `json:"late"`
	Refused  int64     `json:"refused"`
	Failed   int64     `json:"failed"`
	NoAnswer int64     `json:"no_answer"` // calls without an answer
	Retries  int64     `json:"retries"`
	Earned   float64   `json:"earned"`     // share of the worth answered within the aim, from 0 to 1
	Latency  Quantiles `json:"latency_ms"` // from the time at which a call was due
	Naive    Quantiles `json:"naive_ms"`   // from the last send, so without the time that a call waited before it
}

// Report is the result of a run.
type Report struct {
	Version         int           `json:"version"`
	Name            string        `json:"name"`
	Took            float64       `json:"took_s"`                      // seconds
	CutShort        bool          `json:"cut_short"`                   // whether the run was cancelled
	FiguresHold     bool          `json:"figures_hold"`                // whether the figures of all seconds are valid
	LimitFromSecond int           `json:"limit_from_second,omitempty"` // first second with invalid figures
	Limit           string        `json:"limit,omitempty"`             // why they are not valid
	Sent            int64         `json:"sent"`
	Dropped         int64         `json:"dropped"`
	DropReasons     []string      `json:"drops,omitempty"`
	Earned          float64       `json:"earned"`     // share of the worth answered within the aim, from 0 to 1
	Latency         Quantiles     `json:"latency_ms"` // from the time at which a call was due
	Naive           Quantiles     `json:"naive_ms"`   // from the last send
	SendDelay       Quantiles     `json:"lag_ms"`     // delay of sends after their due time
	CPU             float64       `json:"cpu_s"`      // CPU time of the generator in seconds
	Classes         []ClassReport `json:"classes"`
	Seconds         []Second      `json:"seconds"`
	// Judged holds the findings of a rehearsal; it is empty for other runs.
	Judged []Finding `json:"judged,omitempty"`
}

// Finding says whether a rehearsal kept a rule or reached an aim, and what was found.
type Finding struct {
	Rule  string `json:"rule"`
	Kept  bool   `json:"kept"`
	Found string `json:"found"`
}

// Verdict says in words whether the figures are valid and, if not, from which second on and why.
func (r *Report) Verdict() string {
	if r.FiguresHold {
		return "these figures hold"
	}
	return fmt.Sprintf("the generator was the limit from second %d on: %s", r.LimitFromSecond, r.Limit)
}

// WriteText writes the report as text tables.
func (r *Report) WriteText(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	if r.Name != "" {
		fmt.Fprintf(out, "%s\n", r.Name)
	}
	if r.CutShort {
		fmt.Fprintf(out, "cut short after %.1f s\n", r.Took)
	}
	fmt.Fprintln(w, "class\tsent\tdropped\tserved\tlate\trefused\tfailed\tno answer\tretries\tearned\t")
	for _, c := range r.Classes {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.3f\t\n", c.Class, c.Sent, c.Dropped, c.Served, c.Late, c.Refused, c.Failed, c.NoAnswer, c.Retries, c.Earned)
	}
	fmt.Fprintf(w, "all\t%d\t%d\t\t\t\t\t\t\t%.3f\t\n", r.Sent, r.Dropped, r.Earned)
	w.Flush()
	fmt.Fprintln(out)
	fmt.Fprintln(w, "ms\tmean\tp50\tp90\tp99\tp99.9\tp99.99\tmost\t")
	row := func(name string, q Quantiles) {
		fmt.Fprintf(w, "%s\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t\n", name, q.Mean, q.P50, q.P90, q.P99, q.P999, q.P9999, q.Max)
	}
	for _, c := range r.Classes {
		row(c.Class, c.Latency)
	}
	row("all", r.Latency)
	row("all, naive", r.Naive)
	row("sends left late by", r.SendDelay)
	w.Flush()
	for _, d := range r.DropReasons {
		fmt.Fprintln(out, "dropped,", d)
	}
	for _, f := range r.Judged {
		fmt.Fprintf(out, "%s: %s (%s)\n", map[bool]string{true: "kept", false: "BROKEN"}[f.Kept], f.Rule, f.Found)
	}
	_, err := fmt.Fprintf(out, "%.1f s of CPU in %.1f s; %s\n", r.CPU, r.Took, r.Verdict())
	return err
}
