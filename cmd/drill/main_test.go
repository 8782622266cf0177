package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// built is the adapter's binary, as the deploy file builds it.
var built string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "drill")
	if err == nil {
		built = filepath.Join(dir, "drill")
		var out []byte
		if out, err = exec.Command("go", "build", "-o", built, ".").CombinedOutput(); err != nil {
			err = fmt.Errorf("%w: %s", err, out)
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

func play(t *testing.T, input string) (stdout, stderr string, code int) {
	t.Helper()
	cmd := exec.Command(built)
	cmd.Stdin = strings.NewReader(input)
	var out, errs bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &errs
	if err := cmd.Run(); err != nil && cmd.ProcessState == nil {
		t.Fatal(err)
	}
	return out.String(), errs.String(), cmd.ProcessState.ExitCode()
}

const env = `{"replicasOfMe":4,"zone":"z","registryMode":"subscribe","caps":{"attemptsCap":4,"mayCancel":true,"secondCopies":true,"retryAfter":true,"maxRetryAfterUs":1000000},` +
	`"classes":[{"name":"a","effect":"repeatable","promiseUs":100000,"hardLimitUs":400000,"worth":1},{"name":"b","effect":"by_key","dedupScope":"zone","repeatWindowUs":200000,"promiseUs":100000,"worth":2},{"name":"c","effect":"once","promiseUs":100000,"worth":3}],` +
	`"guarantees":{"askWithinUs":1000000,"coldFrom":0.2,"coldUs":1000000,"overloadFactor":3,"overloadForUs":1000000},"costs":{"waste":0.05}}`

// script is a run of batches over n instances; each batch's events for
// instances that keep drops are left out, as they are in another process.
func script(n int, keep func(i int) bool) string {
	rng := rand.New(rand.NewPCG(5, 5))
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	line(`{"t":"tick","tsUs":1000,"turn":1}`)
	line(`{"t":"ledger","list":0,"hosts":[{"health":"SERVING","powerHint":1,"server":"s1","az":"z"},{"health":"SERVING","powerHint":2,"server":"s2","az":"z"},{"health":"SERVING","powerHint":1,"server":"s3","az":"y"}]}`)
	for i := range n {
		if keep(i) {
			line(`{"t":"powerOn","sidecarId":"i/%d","entropy":%d,"env":%s}`, i, i+1, env)
			line(`{"t":"backendsChanged","sidecarId":"i/%d","how":"stale_copy","serial":1,"list":0}`, i)
		}
	}
	line(`{"t":"end"}`)
	type open struct {
		i, id int
	}
	var outs []open
	for turn := 2; turn < 300; turn++ {
		now := turn * 5000
		line(`{"t":"tick","tsUs":%d,"turn":%d}`, now, turn)
		for i := range n {
			for range 3 {
				c := rng.IntN(40)
				if keep(i) {
					line(`{"t":"wakeup","sidecarId":"i/%d","cookie":%d}`, i, c)
				}
			}
			class := string(rune('a' + rng.IntN(4)))
			if keep(i) {
				line(`{"t":"knock","sidecarId":"i/%d","id":"%016x","cls":"%s","clientDeadlineUs":%d}`, i, turn*100+i, class, now+300000)
			}
			if keep(i) && turn%10 == 0 { // a client that leaves at once: its attempt is called off
				line(`{"t":"timedOutClient","sidecarId":"i/%d","id":"%016x"}`, i, turn*100+i)
			}
			outs = append(outs, open{i, turn*100 + i})
		}
		for len(outs) > 2*n {
			o, ending := outs[0], []int{200, 429, 502, 521, 408, 520}[rng.IntN(6)]
			outs = outs[1:]
			if keep(o.i) {
				line(`{"t":"finished","sidecarId":"i/%d","id":"%016x","copy":0,"noMore":%v,"ending":%d,"feedback":{"cpu_share":0.5}}`, o.i, o.id, ending == 200, ending)
			}
		}
		line(`{"t":"end"}`)
	}
	return b.String()
}

func byInstance(out string) []string {
	var lines []string
	for l := range strings.Lines(out) {
		if !strings.HasPrefix(l, `{"t":"eor"`) {
			lines = append(lines, l)
		}
	}
	slices.SortStableFunc(lines, func(a, b string) int { return strings.Compare(instanceOf(a), instanceOf(b)) })
	return lines
}

func instanceOf(line string) string {
	_, rest, _ := strings.Cut(line, `"sidecarId":"`)
	id, _, _ := strings.Cut(rest, `"`)
	return id
}

func TestOneProcessActsLikeSeveral(t *testing.T) {
	all := func(int) bool { return true }
	whole, stderr, code := play(t, script(4, all))
	if code != 0 || stderr != "" {
		t.Fatalf("exit %d: %s", code, stderr)
	}
	var parts string
	for p := range 2 {
		out, _, code := play(t, script(4, func(i int) bool { return i%2 == p }))
		if code != 0 {
			t.Fatalf("part %d: exit %d", p, code)
		}
		parts += out
	}
	a, b := byInstance(whole), byInstance(parts)
	if !slices.Equal(a, b) {
		t.Errorf("%d actions in one process, %d in two, or not the same ones", len(a), len(b))
	}
	for _, word := range []string{"route", "notNow", "dropRequest", "abortAttempt", "setTimer", "keepInformed"} {
		if !strings.Contains(whole, `"t":"`+word+`"`) {
			t.Errorf("the script drew no %s", word)
		}
	}
	if again, _, _ := play(t, script(4, all)); again != whole {
		t.Error("a second run acted otherwise")
	}
}

func TestBadInput(t *testing.T) {
	const tick, end = `{"t":"tick","tsUs":1,"turn":7}` + "\n", `{"t":"end"}` + "\n"
	for _, c := range []struct{ name, input, names string }{
		{"not JSON", tick + "what\n" + end, "line 2"},
		{"unknown type", tick + `{"t":"hail","sidecarId":"i"}` + "\n" + end, "line 2"},
		{"unknown instance", tick + `{"t":"wakeup","sidecarId":"i","cookie":1}` + "\n" + end, `"i"`},
		{"unknown ledger", tick + `{"t":"powerOn","sidecarId":"i","entropy":1,"env":` + env + "}\n" + `{"t":"backendsChanged","sidecarId":"i","how":"whole","list":5}` + "\n" + end, "ledger number 5"},
		{"cut short", tick, "batch 7"},
		{"event outside a batch", end, "line 1"},
		{"bad settings", tick + `{"t":"powerOn","sidecarId":"i","entropy":1,"env":{}}` + "\n" + end, "Instances"},
	} {
		stdout, stderr, code := play(t, c.input)
		if code == 0 || strings.Count(stderr, "\n") != 1 || !strings.Contains(stderr, c.names) {
			t.Errorf("%s: exit %d, stderr %q", c.name, code, stderr)
		}
		if strings.Contains(stdout, "eor") {
			t.Errorf("%s: answered %q", c.name, stdout)
		}
	}
	if out, stderr, code := play(t, tick+end); code != 0 || stderr != "" || out != `{"t":"eor","turn":7}`+"\n" {
		t.Errorf("an empty batch: exit %d, %q, %q", code, out, stderr)
	}
}

// A panic of the decision code must reach the wire as bailOut.
func TestPanicBailsOut(t *testing.T) {
	d := &drill{}
	if err := d.guard("i", func() error { panic("index out of range") }); err != nil {
		t.Fatal(err)
	}
	if want := `{"t":"bailOut","sidecarId":"i","reasonText":"index out of range"}` + "\n"; string(d.reply.Bytes()) != want {
		t.Errorf("got %s", d.reply.Bytes())
	}
}
