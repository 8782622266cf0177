package load

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// ReportVersion is that of a report's JSON.
const ReportVersion = 1

// Quantiles are of a latency, in milliseconds.
type Quantiles struct {
	Mean  float64 `json:"mean"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p99_9"`
	P9999 float64 `json:"p99_99"`
	Most  float64 `json:"most"`
}

// at is the place of the n-th of quantileList.
func (q *Quantiles) at(n int) *float64 {
	return []*float64{&q.P50, &q.P90, &q.P99, &q.P999, &q.P9999, &q.Most}[n]
}

// Second is what became of the calls that were due in one second, from 0.
type Second struct {
	Second  int     `json:"second"`
	Due     int64   `json:"due"`
	Sent    int64   `json:"sent"`
	Dropped int64   `json:"dropped"`
	Served  int64   `json:"served"`
	Late    int64   `json:"late"` // of those served
	Refused int64   `json:"refused"`
	Failed  int64   `json:"failed"`
	None    int64   `json:"no_answer"`
	P50     float64 `json:"p50_ms"`
	P99     float64 `json:"p99_ms"`
	Most    float64 `json:"most_ms"`
	LagP99  float64 `json:"lag_p99_ms"` // how late sends left
	LagMost float64 `json:"lag_most_ms"`
	CPU     float64 `json:"cpu"`             // cores that the generator used
	Limit   string  `json:"limit,omitempty"` // why its figures do not hold
}

// ClassReport is what became of a class's calls. Retries are booked to their first try.
type ClassReport struct {
	Class   string    `json:"class"`
	Sent    int64     `json:"sent"`
	Dropped int64     `json:"dropped"`
	Served  int64     `json:"served"`
	Late    int64     `json:"late"`
	Refused int64     `json:"refused"`
	Failed  int64     `json:"failed"`
	None    int64     `json:"no_answer"`
	Retries int64     `json:"retries"`
	Earned  float64   `json:"earned"`     // part of the worth answered within the aim
	Latency Quantiles `json:"latency_ms"` // from the time a call was due
	Naive   Quantiles `json:"naive_ms"`   // from its last sending: hides what waited before
}

// Report is what a run found.
type Report struct {
	Version   int           `json:"version"`
	Name      string        `json:"name"`
	Took      float64       `json:"took_s"`
	Cut       bool          `json:"cut_short"`
	Holds     bool          `json:"figures_hold"`
	LimitFrom int           `json:"limit_from_second,omitempty"`
	Limit     string        `json:"limit,omitempty"`
	Sent      int64         `json:"sent"`
	Dropped   int64         `json:"dropped"`
	Drops     []string      `json:"drops,omitempty"`
	Earned    float64       `json:"earned"`
	Latency   Quantiles     `json:"latency_ms"`
	Naive     Quantiles     `json:"naive_ms"`
	Lag       Quantiles     `json:"lag_ms"`
	CPU       float64       `json:"cpu_s"`
	Classes   []ClassReport `json:"classes"`
	Seconds   []Second      `json:"seconds"`
	// Judged is what a rehearsal found of the rules; empty: it was none.
	Judged []Finding `json:"judged,omitempty"`
}

// Finding is one rule or aim of a rehearsal, and whether it was kept.
type Finding struct {
	Rule  string `json:"rule"`
	Kept  bool   `json:"kept"`
	Found string `json:"found"`
}

// Verdict is whether the figures hold, in words.
func (r *Report) Verdict() string {
	if r.Holds {
		return "these figures hold"
	}
	return fmt.Sprintf("the generator was the limit from second %d on: %s", r.LimitFrom, r.Limit)
}

// WriteText writes the report for people.
func (r *Report) WriteText(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	if r.Name != "" {
		fmt.Fprintf(out, "%s\n", r.Name)
	}
	if r.Cut {
		fmt.Fprintf(out, "cut short after %.1f s\n", r.Took)
	}
	fmt.Fprintln(w, "class\tsent\tdropped\tserved\tlate\trefused\tfailed\tno answer\tretries\tearned\t")
	for _, c := range r.Classes {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.3f\t\n", c.Class, c.Sent, c.Dropped, c.Served, c.Late, c.Refused, c.Failed, c.None, c.Retries, c.Earned)
	}
	fmt.Fprintf(w, "all\t%d\t%d\t\t\t\t\t\t\t%.3f\t\n", r.Sent, r.Dropped, r.Earned)
	w.Flush()
	fmt.Fprintln(out)
	fmt.Fprintln(w, "ms\tmean\tp50\tp90\tp99\tp99.9\tp99.99\tmost\t")
	row := func(name string, q Quantiles) {
		fmt.Fprintf(w, "%s\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t\n", name, q.Mean, q.P50, q.P90, q.P99, q.P999, q.P9999, q.Most)
	}
	for _, c := range r.Classes {
		row(c.Class, c.Latency)
	}
	row("all", r.Latency)
	row("all, naive", r.Naive)
	row("sends left late by", r.Lag)
	w.Flush()
	for _, d := range r.Drops {
		fmt.Fprintln(out, "dropped,", d)
	}
	for _, f := range r.Judged {
		fmt.Fprintf(out, "%s: %s (%s)\n", map[bool]string{true: "kept", false: "BROKEN"}[f.Kept], f.Rule, f.Found)
	}
	_, err := fmt.Fprintf(out, "%.1f s of CPU in %.1f s; %s\n", r.CPU, r.Took, r.Verdict())
	return err
}
