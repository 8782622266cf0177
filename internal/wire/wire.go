// Package wire decodes the simulator's messages and encodes the replies. A message is a JSON object
// on a line of its own. Type names and field names on the wire are the simulator's.
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
	Tick            Kind = iota // a batch starts
	End                         // a batch ends
	PowerOn                     // an instance starts
	Exit                        // an instance stops
	Ledger                      // the servers in a numbered list
	BackendsChanged             // a result of service discovery
	Knock                       // a request arrives
	HeadReceived                // an attempt's answer starts
	Finished                    // an attempt ends
	TimedOutClient              // a client gives up its request
	Wakeup                      // a timer fires
	Checked                     // a probe ends
	Inbox                       // only its instance is decoded
)

// kindsByName maps the type on the wire to its kind.
var kindsByName = map[string]Kind{
	"tick": Tick, "end": End, "powerOn": PowerOn, "exit": Exit, "ledger": Ledger,
	"backendsChanged": BackendsChanged, "knock": Knock, "headReceived": HeadReceived,
	"finished": Finished, "timedOutClient": TimedOutClient, "wakeup": Wakeup,
	"checked": Checked, "inbox": Inbox,
}

// Host is an entry of a ledger: a server with its health, such as "DRAINING", and its zone.
type Host struct {
	Server, Health, Zone string
	Hint                 float64 // capacity hint, relative to those of the other servers
	StartTimeUs          int64   // time at which the server started, in microseconds
	Group                int
}

// LoadReport is a server's load report. HasBusyReqs and HasCPUShare say which values it contains.
type LoadReport struct {
	BusyReqs, CPUShare       float64
	HasBusyReqs, HasCPUShare bool
}

// Event is a message from the simulator. Only the fields of its kind are set. All byte slices but
// Env are valid only until the next call to Decode.
type Event struct {
	Kind         Kind
	Instance     []byte
	TimeUs       int64  // tick: the simulated time in microseconds
	Turn         int64  // tick: the number of the batch
	Seed         uint64 // powerOn: the seed for random decisions
	Env          []byte // powerOn: the settings, as JSON
	ListNumber   int    // the number of a list of servers
	Hosts        []Host // ledger: the servers in the list
	UpdateKind   []byte // backendsChanged: how the list was obtained
	ID           uint64 // the request
	Class        []byte
	Key          []byte
	Tenant       []byte
	DeadlineUs   int64      // the client's deadline, as a time in microseconds
	Copy         int        // the number of the attempt
	RequestEnded bool       // whether the request has ended with this attempt
	StatusCode   int        // the outcome of an attempt or a probe, as a status code
	Load         LoadReport // the load that the server reported
	Cookie       uint64     // wakeup: the timer
	Server       []byte     // checked: the server that was probed
}

// Decoder decodes messages. It reuses its memory, so it decodes one message at a time.
type Decoder struct{ parser fastjson.Parser }

// Decode overwrites e with the message in line. It returns an error for a message that is not valid
// JSON, is of an unknown type, or lacks a required field. Unknown fields are ignored.
func (d *Decoder) Decode(line []byte, e *Event) error {
	v, err := d.parser.ParseBytes(line)
	if err != nil {
		return fmt.Errorf("message is not valid JSON: %w", err)
	}
	if v.Type() != fastjson.TypeObject {
		return errors.New("message is not a JSON object")
	}
	kind, ok := kindsByName[string(v.GetStringBytes("t"))]
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
		return errors.New("message without sidecarId")
	}
	switch kind {
	case PowerOn:
		env := v.Get("env")
		if env == nil {
			return errors.New("powerOn without env")
		}
		e.Seed, e.Env = v.GetUint64("entropy"), env.MarshalTo(nil)
	case BackendsChanged:
		e.UpdateKind, e.ListNumber = v.GetStringBytes("how"), v.GetInt("list")
	case Wakeup:
		e.Cookie = v.GetUint64("cookie")
	case Checked:
		e.Server, e.StatusCode, e.Load = v.GetStringBytes("server"), v.GetInt("ending"), decodeLoad(v.Get("feedback"))
	case Knock, HeadReceived, Finished, TimedOutClient:
		if e.ID, err = parseID(v.GetStringBytes("id")); err != nil {
			return err
		}
		e.Class, e.Key, e.Tenant = v.GetStringBytes("cls"), v.GetStringBytes("resource"), v.GetStringBytes("project")
		e.DeadlineUs = v.GetInt64("clientDeadlineUs")
		e.Copy, e.RequestEnded, e.StatusCode = v.GetInt("copy"), v.GetBool("noMore"), v.GetInt("ending")
		e.Load = decodeLoad(v.Get("feedback"))
	}
	return nil
}

// decodeLoad decodes a load report. A missing one gives an empty LoadReport.
func decodeLoad(v *fastjson.Value) (load LoadReport) {
	if v == nil {
		return load
	}
	if value := v.Get("busy_reqs"); value != nil {
		load.BusyReqs, load.HasBusyReqs = value.GetFloat64(), true
	}
	if value := v.Get("cpu_share"); value != nil {
		load.CPUShare, load.HasCPUShare = value.GetFloat64(), true
	}
	return load
}

// decodeLedger sets the fields of a ledger message. Every entry must name its server.
func decodeLedger(v *fastjson.Value, e *Event) error {
	e.ListNumber = v.GetInt("list")
	for _, entry := range v.GetArray("hosts") {
		host := Host{
			Server:      string(entry.GetStringBytes("server")),
			Health:      string(entry.GetStringBytes("health")),
			Zone:        string(entry.GetStringBytes("az")),
			StartTimeUs: entry.GetInt64("startTimeUs"),
			Group:       entry.GetInt("unitGroup"),
			Hint:        entry.GetFloat64("powerHint"),
		}
		if host.Server == "" {
			return errors.New("ledger entry without server")
		}
		e.Hosts = append(e.Hosts, host)
	}
	return nil
}

// parseID parses a request ID: 16 hexadecimal digits.
func parseID(text []byte) (uint64, error) {
	id, err := strconv.ParseUint(string(text), 16, 64)
	if err != nil || len(text) != 16 {
		return 0, fmt.Errorf("invalid request ID %q: want 16 hexadecimal digits", text)
	}
	return id, nil
}

// Reply builds the reply to one batch: a line of JSON for each action, and EndOfReply last. It
// reuses its buffer from batch to batch.
type Reply struct{ buf []byte }

// Reset empties r for the next batch.
func (r *Reply) Reset() { r.buf = r.buf[:0] }

// Bytes returns everything written since Reset. The slice is valid until the next Reset.
func (r *Reply) Bytes() []byte { return r.buf }

// openMessage starts a message. closeMessage must end it.
func (r *Reply) openMessage(messageType, instance string) {
	r.buf = append(r.buf, `{"t":"`...)
	r.buf = append(r.buf, messageType...)
	r.buf = append(r.buf, `","sidecarId":`...)
	r.appendString(instance)
}

// openRequestMessage starts a message about a request.
func (r *Reply) openRequestMessage(messageType, instance string, id uint64) {
	r.openMessage(messageType, instance)
	r.buf = append(r.buf, `,"id":"`...)
	const digits = "0123456789abcdef"
	for shift := 60; shift >= 0; shift -= 4 {
		r.buf = append(r.buf, digits[id>>shift&15])
	}
	r.buf = append(r.buf, '"')
}

// appendString appends a JSON string. Only strings that need escaping go through encoding/json.
func (r *Reply) appendString(s string) {
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

// appendName appends the name of a field.
func (r *Reply) appendName(name string) {
	r.buf = append(r.buf, `,"`...)
	r.buf = append(r.buf, name...)
	r.buf = append(r.buf, `":`...)
}

// appendInt appends a field with an integer.
func (r *Reply) appendInt(name string, v int64) {
	r.appendName(name)
	r.buf = strconv.AppendInt(r.buf, v, 10)
}

// appendText appends a field with a string.
func (r *Reply) appendText(name, v string) {
	r.appendName(name)
	r.appendString(v)
}

// closeMessage ends a message.
func (r *Reply) closeMessage() { r.buf = append(r.buf, "}\n"...) }

// Route starts an attempt of a request at a server, with a timeout in microseconds.
func (r *Reply) Route(instance string, id uint64, server string, giveUpAfterUs int64) {
	r.openRequestMessage("route", instance, id)
	r.appendText("server", server)
	r.appendInt("giveUpAfterUs", giveUpAfterUs)
	r.closeMessage()
}

// AbortAttempt cancels an attempt of a request.
func (r *Reply) AbortAttempt(instance string, id uint64, attempt int) {
	r.openRequestMessage("abortAttempt", instance, id)
	r.appendInt("copy", int64(attempt))
	r.closeMessage()
}

// NotNow refuses a request. holdOffUs is the time in microseconds after which the client may try
// again; 0 leaves it out.
func (r *Reply) NotNow(instance string, id uint64, holdOffUs int64) {
	r.openRequestMessage("notNow", instance, id)
	if holdOffUs > 0 {
		r.appendInt("holdOffUs", holdOffUs)
	}
	r.closeMessage()
}

// DropRequest fails a request.
func (r *Reply) DropRequest(instance string, id uint64) {
	r.openRequestMessage("dropRequest", instance, id)
	r.closeMessage()
}

// SetTimer sets a timer that fires in inUs microseconds; the wakeup message returns the cookie.
func (r *Reply) SetTimer(instance string, cookie uint64, inUs int64) {
	r.openMessage("setTimer", instance)
	r.appendInt("cookie", int64(cookie))
	r.appendInt("inUs", inUs)
	r.closeMessage()
}

// Probe starts a probe of a server.
func (r *Reply) Probe(instance, server string) { r.writeServerMessage("probe", instance, server) }

// DropConns closes the idle connections to a server.
func (r *Reply) DropConns(instance, server string) {
	r.writeServerMessage("dropConns", instance, server)
}

// writeServerMessage writes a message whose only field is a server.
func (r *Reply) writeServerMessage(messageType, instance, server string) {
	r.openMessage(messageType, instance)
	r.appendText("server", server)
	r.closeMessage()
}

// KeepInformed subscribes the instance to service discovery.
func (r *Reply) KeepInformed(instance string) {
	r.openMessage("keepInformed", instance)
	r.buf = append(r.buf, `,"on":true`...)
	r.closeMessage()
}

// BailOut reports that the decision code has failed, and why.
func (r *Reply) BailOut(instance, reason string) {
	r.openMessage("bailOut", instance)
	r.appendText("reasonText", reason)
	r.closeMessage()
}

// EndOfReply ends the reply to the batch with the given number.
func (r *Reply) EndOfReply(turn int64) {
	r.buf = append(r.buf, `{"t":"eor"`...)
	r.appendInt("turn", turn)
	r.closeMessage()
}
