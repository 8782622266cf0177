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

// binary is the path of the command, which is built as in the deploy file.
var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "drill")
	if err == nil {
		binary = filepath.Join(dir, "drill")
		var out []byte
		if out, err = exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
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

// runDrill runs the command on an input until it exits.
func runDrill(t *testing.T, input string) (stdout, stderr string, exitCode int) {
	t.Helper()
	cmd := exec.Command(binary)
	cmd.Stdin = strings.NewReader(input)
	var out, errOutput bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &errOutput
	if err := cmd.Run(); err != nil && cmd.ProcessState == nil {
		t.Fatal(err)
	}
	return out.String(), errOutput.String(), cmd.ProcessState.ExitCode()
}

const instanceSettings = `{"replicasOfMe":4,"zone":"z","registryMode":"subscribe","caps":{"attemptsCap":4,"mayCancel":true,"secondCopies":true,"retryAfter":true,"maxRetryAfterUs":1000000},` +
	`"classes":[{"name":"a","effect":"repeatable","promiseUs":100000,"hardLimitUs":400000,"worth":1},{"name":"b","effect":"by_key","dedupScope":"zone","repeatWindowUs":200000,"promiseUs":100000,"worth":2},{"name":"c","effect":"once","promiseUs":100000,"worth":3}],` +
	`"guarantees":{"askWithinUs":1000000,"coldFrom":0.2,"coldUs":1000000,"overloadFactor":3,"overloadForUs":1000000},"costs":{"waste":0.05}}`

// eventScript returns batches of events for n instances. Events of instances that are not included
// are left out, as if another process hosted them; the other events don't depend on that.
func eventScript(n int, included func(i int) bool) string {
	rng := rand.New(rand.NewPCG(5, 5))
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	line(`{"t":"tick","tsUs":1000,"turn":1}`)
	line(`{"t":"ledger","list":0,"hosts":[{"health":"SERVING","powerHint":1,"server":"s1","az":"z"},{"health":"SERVING","powerHint":2,"server":"s2","az":"z"},{"health":"SERVING","powerHint":1,"server":"s3","az":"y"}]}`)
	for i := range n {
		if included(i) {
			line(`{"t":"powerOn","sidecarId":"i/%d","entropy":%d,"env":%s}`, i, i+1, instanceSettings)
			line(`{"t":"backendsChanged","sidecarId":"i/%d","how":"stale_copy","serial":1,"list":0}`, i)
		}
	}
	line(`{"t":"end"}`)
	type call struct {
		instance, id int
	}
	var calls []call
	for turn := 2; turn < 300; turn++ {
		now := turn * 5000
		line(`{"t":"tick","tsUs":%d,"turn":%d}`, now, turn)
		for i := range n {
			for range 3 {
				cookie := rng.IntN(40)
				if included(i) {
					line(`{"t":"wakeup","sidecarId":"i/%d","cookie":%d}`, i, cookie)
				}
			}
			class := string(rune('a' + rng.IntN(4)))
			if included(i) {
				line(`{"t":"knock","sidecarId":"i/%d","id":"%016x","cls":"%s","clientDeadlineUs":%d}`, i, turn*100+i, class, now+300000)
			}
			if included(i) && turn%10 == 0 { // the client leaves at once, so its attempt is cancelled
				line(`{"t":"timedOutClient","sidecarId":"i/%d","id":"%016x"}`, i, turn*100+i)
			}
			calls = append(calls, call{i, turn*100 + i})
		}
		for len(calls) > 2*n {
			call, ending := calls[0], []int{200, 429, 502, 521, 408, 520}[rng.IntN(6)]
			calls = calls[1:]
			if included(call.instance) {
				line(`{"t":"finished","sidecarId":"i/%d","id":"%016x","copy":0,"noMore":%v,"ending":%d,"feedback":{"cpu_share":0.5}}`, call.instance, call.id, ending == 200, ending)
			}
		}
		line(`{"t":"end"}`)
	}
	return b.String()
}

// actionsByInstance returns the actions in the output sorted by instance, in the order of the
// output within an instance.
func actionsByInstance(out string) []string {
	var lines []string
	for line := range strings.Lines(out) {
		if !strings.HasPrefix(line, `{"t":"eor"`) {
			lines = append(lines, line)
		}
	}
	slices.SortStableFunc(lines, func(a, b string) int { return strings.Compare(instanceOf(a), instanceOf(b)) })
	return lines
}

// instanceOf returns the instance id in an action.
func instanceOf(line string) string {
	_, rest, _ := strings.Cut(line, `"sidecarId":"`)
	id, _, _ := strings.Cut(rest, `"`)
	return id
}

// Each instance must act the same whether one process hosts all four instances or two processes
// host two each, and the same in a second run: state shared by instances of a process, or
// randomness without a seed, would make results of the simulator depend on the layout or the run.
func TestInstancesActAlikeInOneProcessAndInTwo(t *testing.T) {
	all := func(int) bool { return true }
	whole, stderr, code := runDrill(t, eventScript(4, all))
	if code != 0 || stderr != "" {
		t.Fatalf("exit code %d: %s", code, stderr)
	}
	var split string
	for p := range 2 {
		out, _, code := runDrill(t, eventScript(4, func(i int) bool { return i%2 == p }))
		if code != 0 {
			t.Fatalf("process %d: exit code %d", p, code)
		}
		split += out
	}
	wholeActions, splitActions := actionsByInstance(whole), actionsByInstance(split)
	if !slices.Equal(wholeActions, splitActions) {
		t.Errorf("%d actions in one process, %d in two, and they differ", len(wholeActions), len(splitActions))
	}
	for _, action := range []string{"route", "notNow", "dropRequest", "abortAttempt", "setTimer", "keepInformed"} {
		if !strings.Contains(whole, `"t":"`+action+`"`) {
			t.Errorf("the script caused no action %s", action)
		}
	}
	if again, _, _ := runDrill(t, eventScript(4, all)); again != whole {
		t.Error("the output of a second run with the same input differs")
	}
}

// Input that is malformed or cut off must end the process with an error on one line that names what
// is wrong, and without a reply to that batch: the simulator would otherwise go on with wrong data.
func TestBadInputEndsWithError(t *testing.T) {
	const tick, end = `{"t":"tick","tsUs":1,"turn":7}` + "\n", `{"t":"end"}` + "\n"
	for _, c := range []struct{ name, input, wantError string }{
		{"not JSON", tick + "what\n" + end, "line 2"},
		{"unknown type", tick + `{"t":"hail","sidecarId":"i"}` + "\n" + end, "line 2"},
		{"unknown instance", tick + `{"t":"wakeup","sidecarId":"i","cookie":1}` + "\n" + end, `"i"`},
		{"unknown ledger", tick + `{"t":"powerOn","sidecarId":"i","entropy":1,"env":` + instanceSettings + "}\n" + `{"t":"backendsChanged","sidecarId":"i","how":"whole","list":5}` + "\n" + end, "ledger number 5"},
		{"cut short", tick, "batch 7"},
		{"event outside a batch", end, "line 1"},
		{"bad settings", tick + `{"t":"powerOn","sidecarId":"i","entropy":1,"env":{}}` + "\n" + end, "Instances"},
	} {
		stdout, stderr, code := runDrill(t, c.input)
		if code == 0 || strings.Count(stderr, "\n") != 1 || !strings.Contains(stderr, c.wantError) {
			t.Errorf("%s: exit code %d, stderr %q; want a failure, with one line that names the cause", c.name, code, stderr)
		}
		if strings.Contains(stdout, "eor") {
			t.Errorf("%s: got reply %q, want none", c.name, stdout)
		}
	}
	if out, stderr, code := runDrill(t, tick+end); code != 0 || stderr != "" || out != `{"t":"eor","turn":7}`+"\n" {
		t.Errorf("empty batch: exit code %d, stdout %q, stderr %q", code, out, stderr)
	}
}

// A panic of the decision code must reach the simulator as bailOut instead of ending the process.
func TestPanicIsReportedAsBailOut(t *testing.T) {
	d := &drill{}
	if err := d.recoverPanic("i", func() error { panic("index out of range") }); err != nil {
		t.Fatal(err)
	}
	if want := `{"t":"bailOut","sidecarId":"i","reasonText":"index out of range"}` + "\n"; string(d.reply.Bytes()) != want {
		t.Errorf("got reply %s, want bailOut with the text of the panic", d.reply.Bytes())
	}
}
