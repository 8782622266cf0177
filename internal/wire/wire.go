// Package wire is the codec for the simulator's JSON lines.
package wire

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"

	"github.com/valyala/fastjson"
)

// Kind is the type of a message from the simulator.
type Kind int

// The message types, named as on the wire.
const (
	Tick Kind = iota
	End
	PowerOn
	Exit
	Ledger
	BackendsChanged
	Knock
	HeadReceived
	Finished
	TimedOutClient
	Wakeup
	Checked
	Inbox
)

var kinds = map[string]Kind{
	"tick": Tick, "end": End, "powerOn": PowerOn, "exit": Exit, "ledger": Ledger,
	"backendsChanged": BackendsChanged, "knock": Knock, "headReceived": HeadReceived,
	"finished": Finished, "timedOutClient": TimedOutClient, "wakeup": Wakeup,
	"checked": Checked, "inbox": Inbox,
}

// Host is one entry of a ledger.
type Host struct {
	Server, Health, Zone string
	Hint                 float64
	StartUs              int64
	Group                int
}

// Load is a server's load report: name and value, in the order sent.
type Load struct {
	BusyReqs, CPUShare       float64
	HasBusyReqs, HasCPUShare bool
}

// Event is one message from the simulator. Only the fields of its kind are
// set. Instance, How, Class, Key, Tenant and Server are valid until the next Decode.
type Event struct {
	Kind     Kind
	Instance []byte
	TimeUs   int64 // tick: the clock
	Turn     int64
	Seed     uint64
	Env      []byte // powerOn: the settings, as JSON
	List     int
	Hosts    []Host
	How      []byte
	ID       uint64
	Class    []byte
	Key      []byte
	Tenant   []byte
	Deadline int64
	Copy     int
	Over     bool
	Ending   int
	Load     Load
	Cookie   uint64
	Server   []byte
}

// Decoder reads messages; it reuses its memory from one to the next.
type Decoder struct{ p fastjson.Parser }

// Decode reads one line into e.
func (d *Decoder) Decode(line []byte, e *Event) error {
	v, err := d.p.ParseBytes(line)
	if err != nil {
		return fmt.Errorf("not JSON: %w", err)
	}
	if v.Type() != fastjson.TypeObject {
		return errors.New("not a JSON object")
	}
	kind, ok := kinds[string(v.GetStringBytes("t"))]
	if !ok {
		return fmt.Errorf("unknown message type %q", v.GetStringBytes("t"))
	}
	*e = Event{Kind: kind}
	switch kind {
	case Tick:
		e.TimeUs, e.Turn = v.GetInt64("tsUs"), v.GetInt64("turn")
		return nil
	case End:
		return nil
	case Ledger:
		return decodeLedger(v, e)
	}
	if e.Instance = v.GetStringBytes("sidecarId"); len(e.Instance) == 0 {
		return errors.New("no sidecarId")
	}
	switch kind {
	case PowerOn:
		env := v.Get("env")
		if env == nil {
			return errors.New("powerOn without env")
		}
		e.Seed, e.Env = v.GetUint64("entropy"), env.MarshalTo(nil)
	case BackendsChanged:
		e.How, e.List = v.GetStringBytes("how"), v.GetInt("list")
	case Wakeup:
		e.Cookie = v.GetUint64("cookie")
	case Checked:
		e.Server, e.Ending, e.Load = v.GetStringBytes("server"), v.GetInt("ending"), decodeLoad(v.Get("feedback"))
	case Knock, HeadReceived, Finished, TimedOutClient:
		if e.ID, err = parseID(v.GetStringBytes("id")); err != nil {
			return err
		}
		e.Class, e.Key, e.Tenant = v.GetStringBytes("cls"), v.GetStringBytes("resource"), v.GetStringBytes("project")
		e.Deadline = v.GetInt64("clientDeadlineUs")
		e.Copy, e.Over, e.Ending = v.GetInt("copy"), v.GetBool("noMore"), v.GetInt("ending")
		e.Load = decodeLoad(v.Get("feedback"))
	}
	return nil
}

func decodeLoad(v *fastjson.Value) (l Load) {
	if v == nil {
		return l
	}
	if x := v.Get("busy_reqs"); x != nil {
		l.BusyReqs, l.HasBusyReqs = x.GetFloat64(), true
	}
	if x := v.Get("cpu_share"); x != nil {
		l.CPUShare, l.HasCPUShare = x.GetFloat64(), true
	}
	return l
}

func decodeLedger(v *fastjson.Value, e *Event) error {
	e.List = v.GetInt("list")
	for _, h := range v.GetArray("hosts") {
		host := Host{
			Server:  string(h.GetStringBytes("server")),
			Health:  string(h.GetStringBytes("health")),
			Zone:    string(h.GetStringBytes("az")),
			StartUs: h.GetInt64("startTimeUs"),
			Group:   h.GetInt("unitGroup"),
			Hint:    h.GetFloat64("powerHint"),
		}
		if host.Server == "" {
			return errors.New("ledger entry without server")
		}
		e.Hosts = append(e.Hosts, host)
	}
	return nil
}

func parseID(b []byte) (uint64, error) {
	id, err := strconv.ParseUint(string(b), 16, 64)
	if err != nil || len(b) != 16 {
		return 0, fmt.Errorf("bad request id %q", b)
	}
	return id, nil
}

// Reply builds the answer to one batch.
type Reply struct{ buf []byte }

// Reset empties r for the next batch.
func (r *Reply) Reset() { r.buf = r.buf[:0] }

// Bytes returns what was written since Reset.
func (r *Reply) Bytes() []byte { return r.buf }

func (r *Reply) open(t, instance string) {
	r.buf = append(r.buf, `{"t":"`...)
	r.buf = append(r.buf, t...)
	r.buf = append(r.buf, `","sidecarId":`...)
	r.str(instance)
}

func (r *Reply) request(t, instance string, id uint64) {
	r.open(t, instance)
	r.buf = append(r.buf, `,"id":"`...)
	const digits = "0123456789abcdef"
	for shift := 60; shift >= 0; shift -= 4 {
		r.buf = append(r.buf, digits[id>>shift&15])
	}
	r.buf = append(r.buf, '"')
}

func (r *Reply) str(s string) {
	for i := range len(s) {
		if c := s[i]; c < ' ' || c == '"' || c == '\\' || c >= 0x7f {
			quoted, _ := json.Marshal(s) // a string always marshals
			r.buf = append(r.buf, quoted...)
			return
		}
	}
	r.buf = append(r.buf, '"')
	r.buf = append(r.buf, s...)
	r.buf = append(r.buf, '"')
}

func (r *Reply) name(name string) {
	r.buf = append(r.buf, `,"`...)
	r.buf = append(r.buf, name...)
	r.buf = append(r.buf, `":`...)
}

func (r *Reply) field(name string, v int64) {
	r.name(name)
	r.buf = strconv.AppendInt(r.buf, v, 10)
}

func (r *Reply) text(name, v string) {
	r.name(name)
	r.str(v)
}

func (r *Reply) close() { r.buf = append(r.buf, "}\n"...) }

// Route writes the start of an attempt.
func (r *Reply) Route(instance string, id uint64, server string, giveUpAfterUs int64) {
	r.request("route", instance, id)
	r.text("server", server)
	r.field("giveUpAfterUs", giveUpAfterUs)
	r.close()
}

// AbortAttempt writes the cancelling of an attempt.
func (r *Reply) AbortAttempt(instance string, id uint64, attempt int) {
	r.request("abortAttempt", instance, id)
	r.field("copy", int64(attempt))
	r.close()
}

// NotNow writes a refusal.
func (r *Reply) NotNow(instance string, id uint64, holdOffUs int64) {
	r.request("notNow", instance, id)
	if holdOffUs > 0 {
		r.field("holdOffUs", holdOffUs)
	}
	r.close()
}

// DropRequest writes a failure.
func (r *Reply) DropRequest(instance string, id uint64) {
	r.request("dropRequest", instance, id)
	r.close()
}

// SetTimer writes the setting of a timer.
func (r *Reply) SetTimer(instance string, cookie uint64, inUs int64) {
	r.open("setTimer", instance)
	r.field("cookie", int64(cookie))
	r.field("inUs", inUs)
	r.close()
}

// Probe writes a probe of a server.
func (r *Reply) Probe(instance, server string) { r.server("probe", instance, server) }

// DropConns writes the closing of idle connections to a server.
func (r *Reply) DropConns(instance, server string) { r.server("dropConns", instance, server) }

func (r *Reply) server(t, instance, server string) {
	r.open(t, instance)
	r.text("server", server)
	r.close()
}

// KeepInformed writes a subscription to discovery.
func (r *Reply) KeepInformed(instance string) {
	r.open("keepInformed", instance)
	r.buf = append(r.buf, `,"on":true`...)
	r.close()
}

// BailOut writes that the decision code has failed.
func (r *Reply) BailOut(instance, reason string) {
	r.open("bailOut", instance)
	r.text("reasonText", reason)
	r.close()
}

// EndOfReply closes the reply to the given batch.
func (r *Reply) EndOfReply(turn int64) {
	r.buf = append(r.buf, `{"t":"eor"`...)
	r.field("turn", turn)
	r.close()
}
