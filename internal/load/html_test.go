package load

import (
	"bytes"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"chalkrack/internal/headless"
)

// The report page is opened from a file, often offline, so a script or external resource in it
// would leave it incomplete. In a browser it must show the figures, the plots and the shaded
// seconds, escape names, and print to PDF.
func TestReportPageInBrowser(t *testing.T) {
	report := &Report{Version: ReportVersion, Name: "a <b>bold</b> & odd name", Took: 5, Sent: 500, LimitFromSecond: 3, Limit: "sends left late",
		Classes: []ClassReport{{Class: "activate", Sent: 500, Served: 490, Earned: 0.987}},
		Judged:  []Finding{{"no effect twice", true, "0"}, {"drains kept", false, "7s"}}}
	for n := range 5 {
		report.Seconds = append(report.Seconds, Second{Second: n, Due: 100, Sent: 100, Served: 98, P50: 10, P99: 100 * float64(n+1), Max: 900, SendDelayP99: 0.2, SendDelayMax: 3})
	}
	var html bytes.Buffer
	if err := report.WriteHTML(&html); err != nil {
		t.Fatal(err)
	}
	if outside := regexp.MustCompile(`(?i)(src|href|url\(|@import|<script|https?:)`).FindString(html.String()); outside != "" {
		t.Errorf("the page refers to an external resource: %q", outside)
	}
	page := filepath.Join(t.TempDir(), "report.html")
	if err := os.WriteFile(page, html.Bytes(), 0o600); err != nil {
		t.Fatal(err)
	}
	document := string(headless.Run(t, "file://"+page, "--dump-dom"))
	for _, want := range []string{"a &lt;b&gt;bold&lt;/b&gt; &amp; odd name", "the generator was the limit from second 3 on: sends left late", "0.987", "drains kept"} {
		if !strings.Contains(document, want) {
			t.Errorf("the page does not show %q", want)
		}
	}
	if n := strings.Count(document, "<svg"); n != 4 {
		t.Errorf("%d plots, want 4", n)
	}
	if n := strings.Count(document, "<polyline"); n != 3+2+4+2 {
		t.Errorf("%d lines in the plots, want 11", n)
	}
	if n := strings.Count(document, `class="doubt"`); n != 4 {
		t.Errorf("%d plots shade the seconds with invalid figures, want 4", n)
	}
	pdf := filepath.Join(t.TempDir(), "report.pdf")
	headless.Run(t, "file://"+page, "--print-to-pdf="+pdf)
	if text, err := os.ReadFile(pdf); err != nil || !bytes.HasPrefix(text, []byte("%PDF")) || len(text) < 10<<10 {
		t.Errorf("printed: %d bytes, %v", len(text), err)
	}
}
