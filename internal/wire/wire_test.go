package wire

import (
	"encoding/json"
	"testing"
)

// mustDecode decodes a line and fails the test if it is invalid.
func mustDecode(t *testing.T, line string) Event {
	t.Helper()
	var d Decoder
	var e Event
	if err := d.Decode([]byte(line), &e); err != nil {
		t.Fatalf("%s: %v", line, err)
	}
	return e
}

// Messages of each shape must set the fields of their kind, and unknown fields must be ignored, so
// that a newer simulator does not break the decoder.
func TestDecodeMessages(t *testing.T) {
	event := mustDecode(t, `{"t":"tick","tsUs":8412250,"turn":12}`)
	if event.Kind != Tick || event.TimeUs != 8412250 || event.Turn != 12 {
		t.Errorf("tick: %+v", event)
	}
	event = mustDecode(t, `{"t":"knock","sidecarId":"sidecar/3","id":"069fa6f45d3a91c4","resource":"k:x","cls":"c","project":"p","clientDeadlineUs":8652250,"new":{"a":[1]}}`)
	if event.Kind != Knock || event.ID != 0x069fa6f45d3a91c4 || string(event.Key) != "k:x" || string(event.Class) != "c" || string(event.Tenant) != "p" || event.DeadlineUs != 8652250 {
		t.Errorf("knock: %+v", event)
	}
	event = mustDecode(t, `{"t":"finished","sidecarId":"s","id":"069fa6f45d3a91c4","copy":2,"noMore":true,"ending":429,"feedback":{"cpu_share":0.5,"odd":1}}`)
	if event.Copy != 2 || !event.RequestEnded || event.StatusCode != 429 || !event.Load.HasCPUShare || event.Load.CPUShare != 0.5 || event.Load.HasBusyReqs {
		t.Errorf("finished: %+v", event)
	}
	event = mustDecode(t, `{"t":"checked","sidecarId":"s","server":"10.0.0.1:1","ending":200,"durationUs":1400,"feedback":{"busy_reqs":3}}`)
	if event.Kind != Checked || string(event.Server) != "10.0.0.1:1" || event.StatusCode != 200 || !event.Load.HasBusyReqs || event.Load.BusyReqs != 3 {
		t.Errorf("checked: %+v", event)
	}
	event = mustDecode(t, `{"t":"ledger","list":3,"hosts":[{"health":"SERVING","powerHint":1.5,"server":"10.0.0.1:1","startTimeUs":6,"unitGroup":4,"generationHw":"g","az":"z"}]}`)
	if want := (Host{Server: "10.0.0.1:1", Health: "SERVING", Zone: "z", Hint: 1.5, StartTimeUs: 6, Group: 4}); event.ListNumber != 3 || len(event.Hosts) != 1 || event.Hosts[0] != want {
		t.Errorf("ledger: %+v", event)
	}
	event = mustDecode(t, `{"t":"powerOn","sidecarId":"s","entropy":18446744073709551615,"env":{"zone":"z","overShareWorth":0.5,"tenants":[{"name":"p","allowancePerS":7.5,"share":1}],"unknown":1,"classes":[{"name":"c","promiseUs":5}]}}`)
	if event.Seed != 1<<64-1 || !json.Valid(event.Env) {
		t.Errorf("powerOn: %+v", event)
	}
}

// Lines that are not JSON objects, unknown types and messages without a required field must be
// rejected: the fields of such an event would be zero and look valid.
func TestDecodeRejectsInvalidMessages(t *testing.T) {
	for _, line := range []string{
		"", "nonsense", "[]", `{"t":"new"}`, `{}`, `{"t":"wakeup","cookie":1}`,
		`{"t":"knock","sidecarId":"s","id":"xyz"}`, `{"t":"powerOn","sidecarId":"s"}`,
		`{"t":"ledger","list":0,"hosts":[{}]}`,
	} {
		var d Decoder
		var e Event
		if err := d.Decode([]byte(line), &e); err == nil {
			t.Errorf("%q: no error", line)
		}
	}
}

// Every action must be encoded as valid JSON with exactly the given fields, also when a string
// needs escaping.
func TestReplyIsValidJSON(t *testing.T) {
	odd := "a\"b\\c\né"
	for _, c := range []struct {
		write func(r *Reply)
		want  map[string]any
	}{
		{func(r *Reply) { r.Route("s", 0xab, odd, 80) }, map[string]any{"t": "route", "sidecarId": "s", "id": "00000000000000ab", "server": odd, "giveUpAfterUs": 80.0}},
		{func(r *Reply) { r.AbortAttempt("s", 1, 2) }, map[string]any{"t": "abortAttempt", "sidecarId": "s", "id": "0000000000000001", "copy": 2.0}},
		{func(r *Reply) { r.NotNow("s", 1, 9) }, map[string]any{"t": "notNow", "sidecarId": "s", "id": "0000000000000001", "holdOffUs": 9.0}},
		{func(r *Reply) { r.DropRequest("s", 1) }, map[string]any{"t": "dropRequest", "sidecarId": "s", "id": "0000000000000001"}},
		{func(r *Reply) { r.SetTimer("s", 7, 5) }, map[string]any{"t": "setTimer", "sidecarId": "s", "cookie": 7.0, "inUs": 5.0}},
		{func(r *Reply) { r.DropConns("s", "x") }, map[string]any{"t": "dropConns", "sidecarId": "s", "server": "x"}},
		{func(r *Reply) { r.KeepInformed("s") }, map[string]any{"t": "keepInformed", "sidecarId": "s", "on": true}},
		{func(r *Reply) { r.BailOut("s", odd) }, map[string]any{"t": "bailOut", "sidecarId": "s", "reasonText": odd}},
		{func(r *Reply) { r.EndOfReply(3) }, map[string]any{"t": "eor", "turn": 3.0}},
	} {
		var r Reply
		c.write(&r)
		var got map[string]any
		if err := json.Unmarshal(r.Bytes(), &got); err != nil {
			t.Errorf("%s: %v", r.Bytes(), err)
			continue
		}
		if len(got) != len(c.want) {
			t.Errorf("got %v, want %v", got, c.want)
		}
		for k, v := range c.want {
			if got[k] != v {
				t.Errorf("%s: %s is %v, want %v", r.Bytes(), k, got[k], v)
			}
		}
	}
}

// FuzzDecode checks that no line makes Decode panic, and that each event of an instance names it.
func FuzzDecode(f *testing.F) {
	for _, s := range []string{
		`{"t":"end"}`, `{"t":"wakeup","sidecarId":"s","cookie":77}`,
		`{"t":"finished","sidecarId":"s","id":"869fa6f45d3a91c4","copy":-1,"ending":1e99,"feedback":[]}`,
		`{"t":"ledger","list":99999999999999999999,"hosts":{}}`,
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, line []byte) {
		var d Decoder
		var e Event
		if err := d.Decode(line, &e); err == nil && e.Kind > Ledger && len(e.Instance) == 0 {
			t.Errorf("%q: event without an instance", line)
		}
	})
}

// FuzzReplyString checks that a reply with any string is valid JSON.
func FuzzReplyString(f *testing.F) {
	f.Add("plain")
	f.Add("\x00\"\\ \u2028")
	f.Fuzz(func(t *testing.T, s string) {
		var r Reply
		r.BailOut("i", s)
		if !json.Valid(r.Bytes()) {
			t.Errorf("%q gave %s", s, r.Bytes())
		}
	})
}
