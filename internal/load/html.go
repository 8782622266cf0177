package load

import (
	"fmt"
	"html/template"
	"io"
	"math"
	"strings"
)

// plotLine is one line of a plot.
type plotLine struct {
	name, colour string
	dashed       bool
	value        func(*Second) float64
}

const (
	plotWidth, plotHeight                    = 860.0, 240.0
	plotLeft, plotRight, plotTop, plotBottom = 60.0, 10.0, 12.0, 28.0
	// maxPlotPoints bounds the points of a plot. In longer runs each point shows the maximum of
	// several seconds.
	maxPlotPoints = 1200
)

// plot draws lines over the seconds of a report as SVG. logScale gives the vertical axis a
// logarithmic scale, for latencies.
func plot(report *Report, unit string, logScale bool, lines []plotLine) template.HTML {
	var svg strings.Builder
	secondsPerPoint := (len(report.Seconds) + maxPlotPoints - 1) / maxPlotPoints
	maxValue := 0.0
	for n := range report.Seconds {
		for _, l := range lines {
			maxValue = max(maxValue, l.value(&report.Seconds[n]))
		}
	}
	if len(report.Seconds) == 0 || maxValue <= 0 {
		return "<p>nothing to show</p>"
	}
	minValue := 0.0
	if logScale {
		minValue = -1 // exponent of the lowest value, 0.1
		maxValue = math.Ceil(math.Log10(maxValue))
	}
	y := func(v float64) float64 {
		if logScale {
			v = math.Log10(max(v, 0.1))
		}
		return plotTop + (plotHeight-plotTop-plotBottom)*(1-(v-minValue)/max(maxValue-minValue, 1e-9))
	}
	endSecond := float64(report.Seconds[len(report.Seconds)-1].Second + 1)
	x := func(s float64) float64 { return plotLeft + (plotWidth-plotLeft-plotRight)*s/max(endSecond, 1) }
	fmt.Fprintf(&svg, `<svg viewBox="0 0 %g %g" role="img" aria-label="%s">`, plotWidth, plotHeight, template.HTMLEscapeString(unit))
	grid := func(v float64, text string) {
		fmt.Fprintf(&svg, `<line x1="%g" x2="%g" y1="%.1f" y2="%.1f" class="grid"/><text x="%g" y="%.1f" text-anchor="end">%s</text>`, plotLeft, plotWidth-plotRight, y(v), y(v), plotLeft-6, y(v)+4, text)
	}
	if logScale {
		for e := minValue; e <= maxValue; e++ {
			grid(math.Pow(10, e), fmt.Sprintf("%g", math.Pow(10, e)))
		}
	} else {
		for n := range 5 {
			v := maxValue * float64(n) / 4
			grid(v, fmt.Sprintf("%.4g", v))
		}
	}
	for n := range 7 {
		s := endSecond * float64(n) / 6
		fmt.Fprintf(&svg, `<text x="%.1f" y="%g" text-anchor="middle">%.0f s</text>`, x(s), plotHeight-8, s)
	}
	if !report.FiguresHold { // shade the seconds from the first with invalid figures on
		fmt.Fprintf(&svg, `<rect x="%.1f" y="%g" width="%.1f" height="%g" class="doubt"/>`, x(float64(report.LimitFromSecond)), plotTop, x(endSecond)-x(float64(report.LimitFromSecond)), plotHeight-plotTop-plotBottom)
	}
	for _, l := range lines {
		var points []string
		for from := 0; from < len(report.Seconds); from += secondsPerPoint {
			v := 0.0
			for _, s := range report.Seconds[from:min(from+secondsPerPoint, len(report.Seconds))] {
				v = max(v, l.value(&s))
			}
			points = append(points, fmt.Sprintf("%.1f,%.1f", x(float64(report.Seconds[from].Second)+0.5), y(v)))
		}
		dashAttribute := ""
		if l.dashed {
			dashAttribute = ` stroke-dasharray="5 4"`
		}
		fmt.Fprintf(&svg, `<polyline fill="none" stroke="%s"%s points="%s"><title>%s</title></polyline>`, l.colour, dashAttribute, strings.Join(points, " "), l.name)
	}
	svg.WriteString("</svg><p class=legend>")
	for _, l := range lines {
		style := "solid"
		if l.dashed {
			style = "dashed"
		}
		fmt.Fprintf(&svg, `<span><i style="border-top:3px %s %s"></i>%s</span> `, style, l.colour, l.name)
	}
	fmt.Fprintf(&svg, "(%s)</p>", template.HTMLEscapeString(unit))
	return template.HTML(svg.String())
}

// page is the template of the report page.
var page = template.Must(template.New("").Funcs(template.FuncMap{
	"latency": func(r *Report) template.HTML {
		return plot(r, "milliseconds from the due time of a call, by second of the due time", true, []plotLine{
			{"p50", "#1b6ca8", false, func(s *Second) float64 { return s.P50 }},
			{"p99", "#c8553d", false, func(s *Second) float64 { return s.P99 }},
			{"most", "#7a7a7a", true, func(s *Second) float64 { return s.Max }},
		})
	},
	"sent": func(r *Report) template.HTML {
		return plot(r, "calls per second", false, []plotLine{
			{"due", "#7a7a7a", true, func(s *Second) float64 { return float64(s.Due) }},
			{"sent", "#1b6ca8", false, func(s *Second) float64 { return float64(s.Sent) }},
		})
	},
	"outcomes": func(r *Report) template.HTML {
		return plot(r, "calls per second, by second of the due time", false, []plotLine{
			{"served in time", "#2a7f3f", false, func(s *Second) float64 { return float64(s.Served - s.Late) }},
			{"served late", "#d9a404", false, func(s *Second) float64 { return float64(s.Late) }},
			{"refused", "#1b6ca8", true, func(s *Second) float64 { return float64(s.Refused) }},
			{"failed or no answer", "#c8553d", false, func(s *Second) float64 { return float64(s.Failed + s.NoAnswer) }},
		})
	},
	"lag": func(r *Report) template.HTML {
		return plot(r, "milliseconds by which the generator sent calls late", true, []plotLine{
			{"p99", "#c8553d", false, func(s *Second) float64 { return s.SendDelayP99 }},
			{"most", "#7a7a7a", true, func(s *Second) float64 { return s.SendDelayMax }},
		})
	},
	"n": func(v float64) string { return fmt.Sprintf("%.2f", v) },
}).Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{or .Name "load"}}</title>
<style>
body{font:15px/1.45 system-ui,sans-serif;max-width:920px;margin:2em auto;padding:0 1em;color:#222}
h1{font-size:1.4em}h2{font-size:1.1em;margin:1.6em 0 .3em}
table{border-collapse:collapse;width:100%}td,th{padding:.2em .5em;text-align:right;border-bottom:1px solid #ddd}
td:first-child,th:first-child{text-align:left}
svg{width:100%;height:auto}svg text{font-size:11px;fill:#444}.grid{stroke:#e4e4e4}.doubt{fill:#c8553d;opacity:.09}
polyline{stroke-width:1.6}.legend span{margin-right:1.2em}.legend i{display:inline-block;width:24px;margin-right:.4em;vertical-align:middle}
.bad{color:#a52a16;font-weight:600}.good{color:#226a33;font-weight:600}
@media print{body{margin:0;max-width:none}h2{break-after:avoid}svg,table{break-inside:avoid}}
</style></head><body>
<h1>{{or .Name "load"}}</h1>
<p id="verdict" class="{{if .FiguresHold}}good{{else}}bad{{end}}">{{.Verdict}}</p>
<p>{{.Sent}} calls sent, {{.Dropped}} dropped, in {{n .Took}} s{{if .CutShort}}, cut short{{end}}; {{n .CPU}} s of CPU. Earned {{printf "%.3f" .Earned}} of the worth.</p>
{{range .DropReasons}}<p class="bad">dropped, {{.}}</p>{{end}}
{{if .Judged}}<h2>Rules</h2><table><tr><th>rule</th><th>kept</th><th>found</th></tr>
{{range .Judged}}<tr><td>{{.Rule}}</td><td class="{{if .Kept}}good{{else}}bad{{end}}">{{if .Kept}}yes{{else}}no{{end}}</td><td>{{.Found}}</td></tr>{{end}}</table>{{end}}
<h2>By class</h2><table><tr><th>class</th><th>sent</th><th>served</th><th>late</th><th>refused</th><th>failed</th><th>no answer</th><th>retries</th><th>earned</th></tr>
{{range .Classes}}<tr><td>{{.Class}}</td><td>{{.Sent}}</td><td>{{.Served}}</td><td>{{.Late}}</td><td>{{.Refused}}</td><td>{{.Failed}}</td><td>{{.NoAnswer}}</td><td>{{.Retries}}</td><td>{{printf "%.3f" .Earned}}</td></tr>{{end}}</table>
<h2>Latency, ms</h2><table><tr><th></th><th>mean</th><th>p50</th><th>p90</th><th>p99</th><th>p99.9</th><th>p99.99</th><th>most</th></tr>
{{define "q"}}<td>{{n .Mean}}</td><td>{{n .P50}}</td><td>{{n .P90}}</td><td>{{n .P99}}</td><td>{{n .P999}}</td><td>{{n .P9999}}</td><td>{{n .Max}}</td>{{end}}
{{range .Classes}}<tr><td>{{.Class}}</td>{{template "q" .Latency}}</tr>{{end}}
<tr><td>all</td>{{template "q" .Latency}}</tr><tr><td>all, naive</td>{{template "q" .Naive}}</tr><tr><td>sends left late by</td>{{template "q" .SendDelay}}</tr></table>
<p>The naive figures count from the last time that a call was sent, so they hide the wait before it.</p>
<h2>Latency over time</h2>{{latency .}}
<h2>Calls due and sent</h2>{{sent .}}
<h2>Outcomes</h2>{{outcomes .}}
<h2>Send delay of the generator</h2>{{lag .}}
</body></html>
`))

// WriteHTML writes the report as one HTML page without external resources.
func (r *Report) WriteHTML(out io.Writer) error { return page.Execute(out, r) }
