package demo

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"os"
	"strings"
	"testing"
	"time"
)

func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	os.Exit(m.Run())
}

// A script or a typed line that is parsed wrongly would act on another server or at another time. A
// valid script gives its steps sorted by time, an invalid script or line an error.
func TestParseScriptAndKeys(t *testing.T) {
	steps, err := ParseScript("4s thaw 3; 2s freeze 3 # why\n\n 1ms kill 1;", 4)
	if err != nil || len(steps) != 3 || steps[0] != (Step{time.Millisecond, "kill", 1}) || steps[2] != (Step{4 * time.Second, "thaw", 3}) {
		t.Errorf("the script gave %v, error %v", steps, err)
	}
	for _, bad := range []string{"freeze 3", "2s melt 3", "2s freeze 5", "2s freeze 0", "x freeze 1", "-1s freeze 1", "11m freeze 1", strings.Repeat("1s kill 1;", maxSteps+1)} {
		if _, err := ParseScript(bad, 4); err == nil {
			t.Errorf("the invalid script %.40q gave no error", bad)
		}
	}
	if s, err := ParseKeys(" d4\n", 4); err != nil || s.Verb != "drain" || s.Server != 4 {
		t.Errorf("the typed line gave %v, error %v", s, err)
	}
	for _, bad := range []string{"", "f", "x1", "f5", "ff"} {
		if _, err := ParseKeys(bad, 4); err == nil {
			t.Errorf("the invalid line %q gave no error", bad)
		}
	}
}

// No text gives a step of an unknown server, with a negative time or out of order.
func FuzzParseScript(f *testing.F) {
	f.Add("2s freeze 3; 4s thaw 3")
	f.Add("1h kill 1\n#\n;;")
	f.Fuzz(func(t *testing.T, text string) {
		steps, err := ParseScript(text, 4)
		if err != nil {
			return
		}
		for n, s := range steps {
			if s.Server < 1 || s.Server > 4 || s.At < 0 || n > 0 && s.At < steps[n-1].At {
				t.Errorf("the script %q gave %+v", text, steps)
			}
		}
	})
}

// A demonstration in which servers are frozen, killed, restarted and drained, by script and by
// keys, ends by itself and answers every call. Invalid configurations are refused.
func TestDemonstrationRunsToItsEnd(t *testing.T) {
	steps, err := ParseScript("100ms freeze 1; 600ms thaw 1; 200ms kill 2; 700ms restart 2", 4)
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	keys, typing := io.Pipe()
	go func() {
		io.WriteString(typing, "d3\nnonsense\nu3\n")
		typing.Close()
	}()
	if err := Run(context.Background(), Config{Servers: 4, CallsPerSecond: 100, Duration: 1500 * time.Millisecond, Seed: 1, Script: steps, Keys: keys, Out: &out}); err != nil {
		t.Error(err)
	}
	for _, want := range []string{"freeze server 1", "thaw server 1", "kill server 2", "restart server 2", "drain server 3", "undrain server 3", `"nonsense"`, "summary", "activate", "happened twice: 0"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("the output lacks %q:\n%s", want, out.String())
		}
	}
	for _, bad := range []Config{{Servers: 0, CallsPerSecond: 1, Duration: 1}, {Servers: 1, CallsPerSecond: 0, Duration: 1}, {Servers: 1, CallsPerSecond: 1, Duration: 0}, {Servers: 1, CallsPerSecond: 1e9, Duration: 1}} {
		if err := Run(context.Background(), bad); err == nil {
			t.Errorf("the invalid configuration %+v gave no error", bad)
		}
	}
}
