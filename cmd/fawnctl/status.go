package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	tea "charm.land/bubbletea/v2"

	"chalkrack/internal/admin"
	"chalkrack/internal/body"
	"chalkrack/internal/daemon"
	"chalkrack/internal/weights"
)

// socketFlags are the flags of commands that call a running daemon.
type socketFlags struct {
	Socket string `required:"" env:"FAWN_SOCKET" help:"The daemon's socket for operators ([admin] socket in its features file)."`
	JSON   bool   `help:"Print the daemon's answer as JSON."`
}

// errDaemonUnreachable means that the daemon can't be reached or answers with an error; exit
// status 3.
var errDaemonUnreachable = errors.New("the daemon can't be asked")

// fetchPage gets a page of the daemon's admin interface and decodes it into result. With --json it
// prints the page unchanged instead, and returns true for printed.
func (f *socketFlags) fetchPage(streams *stdStreams, page string, result any) (printed bool, err error) {
	var raw json.RawMessage
	if err := admin.Get(context.Background(), f.Socket, page, &raw); err != nil {
		return false, fmt.Errorf("%w: %w", errDaemonUnreachable, err)
	}
	if f.JSON {
		_, err := fmt.Fprintf(streams.out, "%s\n", raw)
		return true, err
	}
	return false, json.Unmarshal(raw, result)
}

type daemonStatusCmd struct{ socketFlags }

// Run prints the state of a daemon.
func (c *daemonStatusCmd) Run(streams *stdStreams) error {
	var status daemon.Status
	if printed, err := c.fetchPage(streams, "status", &status); printed || err != nil {
		return err
	}
	w := tabwriter.NewWriter(streams.out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "process\t%d, since %s\n", status.PID, status.StartTime.Format(time.DateTime))
	fmt.Fprintf(w, "listens\t%s, ready: %v\n", status.Listen, status.Ready)
	fmt.Fprintf(w, "calls held\t%d\n", status.HeldCalls)
	fmt.Fprintf(w, "connections\t%d of clients, %d to servers\n", status.ClientConns, status.Servers)
	fmt.Fprintf(w, "limits\t%d MB, %d sockets\n", status.MemoryMB, status.Sockets)
	if status.BodyMemory != nil {
		fmt.Fprintf(w, "bodies\t%s in memory, disk %s\n", formatAmount(*status.BodyMemory), status.DiskState)
	} else {
		fmt.Fprintf(w, "bodies\t[bodies] is off\n")
	}
	var planView weights.View
	if err := admin.Get(context.Background(), c.Socket, "weights", &planView); err == nil {
		reason := ""
		if planView.Reason != weights.None {
			reason = ": " + string(planView.Reason)
		}
		fmt.Fprintf(w, "weights\thold %.2f%s; of %s, until %s; %d servers known, %d not\n", planView.Hold, reason, planView.Made.Format(time.DateTime), planView.Until.Format(time.DateTime), planView.KnownNodes, planView.UnknownNodes)
	}
	return w.Flush()
}

type bodiesCmd struct {
	socketFlags
	Watch bool          `help:"Show a live view; q ends it."`
	Every time.Duration `default:"1s" help:"Time between two requests of --watch."`
}

// Run prints where bodies are kept and how many were retried, refused or failed, once or as a live
// view.
func (c *bodiesCmd) Run(streams *stdStreams) error {
	if c.Watch && !c.JSON {
		if c.Every < 50*time.Millisecond {
			return fmt.Errorf("--every: must be at least 50ms, not %v", c.Every)
		}
		model := &bodiesModel{flags: &c.socketFlags, interval: c.Every}
		program := tea.NewProgram(model, tea.WithInput(streams.in), tea.WithOutput(streams.out))
		if _, err := program.Run(); err != nil {
			return err
		}
		return model.lastErr
	}
	var view body.View
	if printed, err := c.fetchPage(streams, "bodies", &view); printed || err != nil {
		return err
	}
	_, err := io.WriteString(streams.out, formatBodies(&view, nil, 0))
	return err
}

// formatBytes formats a number of bytes in the largest unit of which there are at least 10.
func formatBytes(n int64) string {
	switch {
	case n >= 10<<30:
		return fmt.Sprintf("%d GiB", n>>30)
	case n >= 10<<20:
		return fmt.Sprintf("%d MiB", n>>20)
	case n >= 10<<10:
		return fmt.Sprintf("%d KiB", n>>10)
	}
	return fmt.Sprintf("%d B", n)
}

// formatAmount formats an amount of bytes: now, the limit and the maximum so far.
func formatAmount(amount body.Amount) string {
	return fmt.Sprintf("%s of %s (most %s)", formatBytes(amount.Now), formatBytes(amount.Limit), formatBytes(amount.Max))
}

// drawBar draws an amount as a bar of width characters, with a mark at the maximum so far.
func drawBar(amount body.Amount, width int) string {
	if amount.Limit <= 0 {
		return strings.Repeat("-", width)
	}
	column := func(n int64) int { return min(int(n*int64(width)/amount.Limit), width) }
	cells := []byte(strings.Repeat("#", column(amount.Now)) + strings.Repeat(".", width-column(amount.Now)))
	if mark := column(amount.Max); mark > column(amount.Now) {
		cells[mark-1] = '|'
	}
	return string(cells)
}

// formatBodies formats the state of bodies as a page. If previous is not nil, the page has the rate
// of new bodies of each class, over the time elapsed since previous.
func formatBodies(view, previous *body.View, elapsed time.Duration) string {
	var text strings.Builder
	w := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "memory\t%s\t%s\n", drawBar(view.Memory, 30), formatAmount(view.Memory))
	if view.DiskState != "off" {
		fmt.Fprintf(w, "files\t%s\t%s\n", drawBar(view.Disk, 30), formatAmount(view.Disk))
		fmt.Fprintf(w, "open\t%s\t%d of %d (most %d)\n", drawBar(view.Files, 30), view.Files.Now, view.Files.Limit, view.Files.Max)
	}
	fmt.Fprintf(w, "passing\t%s\t%d of %d (most %d)\n", drawBar(view.Streams, 30), view.Streams.Now, view.Streams.Limit, view.Streams.Max)
	w.Flush()
	switch {
	case view.DiskState == "off":
		text.WriteString("disk: not used\n")
	default:
		fmt.Fprintf(&text, "disk: %s since %s, changed %d times\n", view.DiskState, view.DiskSince.Format(time.DateTime), view.DiskChanges)
	}
	if view.Tight {
		text.WriteString("memory is tight: classes borrow no memory, and long bodies move to files\n")
	}
	text.WriteByte('\n')
	fmt.Fprintln(w, "class\tin memory\tin a file\tnot kept\tno room\tmoved\tretried from memory\tfrom a file\trefused, not kept\tfailed, not kept\theld\ton disk")
	for n, class := range view.Classes {
		rate := ""
		if previous != nil && n < len(previous.Classes) && elapsed > 0 {
			old := previous.Classes[n]
			newBodies := class.Memory + class.File + class.NotKept + class.Refused - old.Memory - old.File - old.NotKept - old.Refused
			rate = fmt.Sprintf(" (%.0f/s)", float64(newBodies)/elapsed.Seconds())
		}
		fmt.Fprintf(w, "%s%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\n", class.Class, rate, class.Memory, class.File, class.NotKept, class.Refused, class.Moved,
			class.RetriedMemory, class.RetriedFile, class.UnkeptRefused, class.UnkeptFailed, formatBytes(class.Bytes), formatBytes(class.DiskBytes))
	}
	w.Flush()
	return text.String()
}

// bodiesModel is the live view of bodies. It asks the daemon every interval, and shows the last
// view with the rates since the one before.
type bodiesModel struct {
	flags    *socketFlags
	interval time.Duration
	view     *body.View
	previous *body.View
	viewTime time.Time     // time of the request for view
	elapsed  time.Duration // from previous to view
	lastErr  error         // error of the last request
}

// viewMsg is an answer of the daemon.
type viewMsg struct {
	view        *body.View
	err         error
	requestTime time.Time
}

// tickMsg says that it is time to ask the daemon again.
type tickMsg struct{}

// fetchView asks the daemon for the state of bodies.
func (m *bodiesModel) fetchView() tea.Msg {
	msg := viewMsg{view: new(body.View), requestTime: time.Now()}
	_, msg.err = m.flags.fetchPage(nil, "bodies", msg.view)
	return msg
}

// Init implements tea.Model.
func (m *bodiesModel) Init() tea.Cmd { return m.fetchView }

// Update implements tea.Model.
func (m *bodiesModel) Update(msg tea.Msg) (tea.Model, tea.Cmd) {
	switch msg := msg.(type) {
	case tea.KeyPressMsg:
		switch msg.String() {
		case "q", "esc", "ctrl+c":
			return m, tea.Quit
		}
	case viewMsg:
		if m.lastErr = msg.err; msg.err == nil {
			m.previous, m.elapsed = m.view, msg.requestTime.Sub(m.viewTime)
			m.view, m.viewTime = msg.view, msg.requestTime
		}
		return m, tea.Tick(m.interval, func(time.Time) tea.Msg { return tickMsg{} })
	case tickMsg:
		return m, m.fetchView
	}
	return m, nil
}

// View implements tea.Model.
func (m *bodiesModel) View() tea.View {
	text := "asking " + m.flags.Socket + "\n"
	if m.view != nil {
		text = formatBodies(m.view, m.previous, m.elapsed)
	}
	if m.lastErr != nil {
		text += "\n" + m.lastErr.Error() + "\n"
	}
	v := tea.NewView(text + "\nq ends the view\n")
	v.AltScreen = true
	return v
}
