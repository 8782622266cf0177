package main

import (
	"bytes"
	"context"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"html/template"
	"io"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"chalkrack/internal/admin"
	"chalkrack/internal/components/levels"
	"chalkrack/internal/level"
)

type levelCmd struct {
	socketFlags
	Pin   string        `placeholder:"LEVEL" help:"Hold a level by hand: normal, saving, trimmed, essential or emergency."`
	For   time.Duration `default:"15m" help:"How long --pin holds the level."`
	Unpin bool          `help:"End a --pin."`
	Serve string        `placeholder:"ADDRESS" help:"Serve the level over HTTP at this address until interrupted: as a page (/), as JSON (/level) and for Prometheus (/metrics)."`
}

// Run shows, pins or serves the level, as the flags say.
func (c *levelCmd) Run(streams *stdStreams) error {
	switch {
	case c.Pin != "" && c.Unpin:
		return errors.New("--pin and --unpin exclude each other")
	case c.Pin != "" || c.Unpin:
		request := levels.PinRequest{Level: c.Pin, For: c.For}
		if c.Unpin {
			request.For = 0
		}
		var view level.View
		if err := admin.Do(context.Background(), c.Socket, "level/pin", request, &view); err != nil {
			var refusal admin.RefusedError
			if errors.As(err, &refusal) {
				return refusal
			}
			return fmt.Errorf("%w: %w", errDaemonUnreachable, err)
		}
		return printLevel(streams.out, &view)
	case c.Serve != "":
		return c.serve(streams)
	}
	var view level.View
	if printed, err := c.fetchPage(streams, "level", &view); printed || err != nil {
		return err
	}
	return printLevel(streams.out, &view)
}

// printLevel prints the level, the classes it turns away, the sensors and the last changes, the
// newest first.
func printLevel(out io.Writer, view *level.View) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "level\t%s, for %s\n", view.Level, view.Since.Round(time.Second))
	if view.Pinned != "" {
		fmt.Fprintf(w, "pinned\tfor another %s; by its conditions it would be %s\n", view.PinLeft.Round(time.Second), view.Free)
	}
	if view.Holds > 0 {
		fmt.Fprintf(w, "leaves\tafter %s of calm, of which %s have passed\n", view.Holds.Round(time.Second), view.Calm.Round(time.Second))
	}
	for _, name := range sortedKeys(view.Cut) {
		fmt.Fprintf(w, "cut\t%s\t%s\t%d turned away\n", name, view.Cut[name], view.Turned[name])
	}
	fmt.Fprintln(w, "sensor\tvalue\tnext level at\tleft below")
	for _, condition := range view.Conditions {
		value := fmt.Sprintf("%.3f", condition.Value)
		if !condition.Counts {
			value += " (no usable value)"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", condition.Sensor, value, formatThreshold(condition.Enter), formatThreshold(condition.Leave))
	}
	for n := len(view.Changes) - 1; n >= 0; n-- {
		change := view.Changes[n]
		fmt.Fprintf(w, "%s ago\t%s to %s\t%s\n", (view.Now - change.At).Round(time.Second), change.From, change.To, change.Why)
	}
	return w.Flush()
}

// formatThreshold formats a sensor's threshold; 0 means that there is none.
func formatThreshold(value float64) string {
	if value == 0 {
		return "-"
	}
	return fmt.Sprintf("%.3f", value)
}

//go:embed level.html
var levelPage string

// levelCollector collects the metrics by asking the daemon at each scrape.
type levelCollector struct{ socket string }

var (
	levelDesc         = prometheus.NewDesc("fawnrock_level", "The level of service: 0 normal to 4 emergency.", nil, nil)
	unpinnedLevelDesc = prometheus.NewDesc("fawnrock_level_by_conditions", "The level that the conditions ask for.", nil, nil)
	levelChangesDesc  = prometheus.NewDesc("fawnrock_level_changes_total", "Changes of the level.", nil, nil)
	sensorDesc        = prometheus.NewDesc("fawnrock_level_sensor", "What a sensor says.", []string{"sensor"}, nil)
	turnedAwayDesc    = prometheus.NewDesc("fawnrock_level_turned_away_total", "Requests turned away by the level.", []string{"class"}, nil)
)

// Describe implements prometheus.Collector.
func (c *levelCollector) Describe(descs chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{levelDesc, unpinnedLevelDesc, levelChangesDesc, sensorDesc, turnedAwayDesc} {
		descs <- d
	}
}

// Collect implements prometheus.Collector.
func (c *levelCollector) Collect(metrics chan<- prometheus.Metric) {
	var view level.View
	if err := admin.Get(context.Background(), c.socket, "level", &view); err != nil {
		metrics <- prometheus.NewInvalidMetric(levelDesc, err)
		return
	}
	send := func(d *prometheus.Desc, valueType prometheus.ValueType, value float64, labels ...string) {
		metrics <- prometheus.MustNewConstMetric(d, valueType, value, labels...)
	}
	current, _ := level.Parse(view.Level)
	unpinned, _ := level.Parse(view.Free)
	send(levelDesc, prometheus.GaugeValue, float64(current))
	send(unpinnedLevelDesc, prometheus.GaugeValue, float64(unpinned))
	send(levelChangesDesc, prometheus.CounterValue, float64(view.ChangeCount))
	for _, condition := range view.Conditions {
		if condition.Counts {
			send(sensorDesc, prometheus.GaugeValue, condition.Value, condition.Sensor)
		}
	}
	for _, name := range sortedKeys(view.Turned) {
		send(turnedAwayDesc, prometheus.CounterValue, float64(view.Turned[name]), name)
	}
}

// levelHandler returns a handler that asks the daemon at the socket on each request. It answers 502
// if the daemon can't be reached.
func levelHandler(socket string) http.Handler {
	page := template.Must(template.New("level").Funcs(template.FuncMap{
		"round": func(d time.Duration) string { return d.Round(time.Second).String() }, "threshold": formatThreshold,
	}).Parse(levelPage))
	registry := prometheus.NewRegistry()
	registry.MustRegister(&levelCollector{socket})
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /{$}", func(w http.ResponseWriter, r *http.Request) {
		var view level.View
		if err := admin.Get(r.Context(), socket, "level", &view); err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		var text bytes.Buffer
		if err := page.Execute(&text, &view); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "text/html; charset=utf-8")
		w.Header().Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'")
		w.Write(text.Bytes())
	})
	mux.HandleFunc("GET /level", func(w http.ResponseWriter, r *http.Request) {
		var view level.View
		if err := admin.Get(r.Context(), socket, "level", &view); err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(&view)
	})
	return mux
}

// serve serves the level at the address of --serve until SIGINT or SIGTERM.
func (c *levelCmd) serve(streams *stdStreams) error {
	listener, err := net.Listen("tcp", c.Serve)
	if err != nil {
		return fmt.Errorf("--serve: %w", err)
	}
	fmt.Fprintf(streams.out, "http://%s\n", listener.Addr())
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	server := &http.Server{Handler: levelHandler(c.Socket), ReadTimeout: 5 * time.Second, WriteTimeout: 10 * time.Second, IdleTimeout: 30 * time.Second, MaxHeaderBytes: 8 << 10}
	go func() {
		<-ctx.Done()
		server.Close()
	}()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
