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
	"chalkrack/internal/level"
	"chalkrack/internal/rooms/levels"
)

type levelCmd struct {
	socketFlags
	Pin   string        `placeholder:"LEVEL" help:"Hold a level by hand: normal, saving, trimmed, essential or emergency."`
	For   time.Duration `default:"15m" help:"How long --pin holds it."`
	Unpin bool          `help:"End a --pin."`
	Serve string        `placeholder:"ADDRESS" help:"Show it as a page (/), as JSON (/level) and for Prometheus (/metrics) at an address, until it is ended."`
}

// Run shows or pins the level of service.
func (c *levelCmd) Run(s *streams) error {
	switch {
	case c.Pin != "" && c.Unpin:
		return errors.New("--pin and --unpin exclude each other")
	case c.Pin != "" || c.Unpin:
		ask := levels.PinRequest{Level: c.Pin, For: c.For}
		if c.Unpin {
			ask.For = 0
		}
		var v level.View
		if err := admin.Do(context.Background(), c.Socket, "level/pin", ask, &v); err != nil {
			var no admin.RefusedError
			if errors.As(err, &no) {
				return no
			}
			return fmt.Errorf("%w: %w", errAway, err)
		}
		return levelText(s.out, &v)
	case c.Serve != "":
		return c.serve(s)
	}
	var v level.View
	if done, err := c.ask(s, "level", &v); done || err != nil {
		return err
	}
	return levelText(s.out, &v)
}

func levelText(out io.Writer, v *level.View) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "level\t%s, for %s\n", v.Level, v.Since.Round(time.Second))
	if v.Pinned != "" {
		fmt.Fprintf(w, "pinned\tfor another %s; by its conditions it would be %s\n", v.PinLeft.Round(time.Second), v.Free)
	}
	if v.Holds > 0 {
		fmt.Fprintf(w, "leaves\tafter %s of calm, of which %s have passed\n", v.Holds.Round(time.Second), v.Calm.Round(time.Second))
	}
	for _, name := range sortedKeys(v.Cut) {
		fmt.Fprintf(w, "cut\t%s\t%s\t%d turned away\n", name, v.Cut[name], v.Turned[name])
	}
	fmt.Fprintln(w, "sensor\tvalue\tnext level at\tleft below")
	for _, k := range v.Conditions {
		value := fmt.Sprintf("%.3f", k.Value)
		if !k.Counts {
			value += " (says nothing)"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", k.Sensor, value, threshold(k.Enter), threshold(k.Leave))
	}
	for n := len(v.Changes) - 1; n >= 0; n-- {
		k := v.Changes[n]
		fmt.Fprintf(w, "%s ago\t%s to %s\t%s\n", (v.Now - k.At).Round(time.Second), k.From, k.To, k.Why)
	}
	return w.Flush()
}

func threshold(x float64) string {
	if x == 0 {
		return "-"
	}
	return fmt.Sprintf("%.3f", x)
}

//go:embed level.html
var levelPage string

// collector asks the daemon at each scrape.
type collector struct{ socket string }

var (
	levelDesc   = prometheus.NewDesc("fawnrock_level", "The level of service: 0 normal to 4 emergency.", nil, nil)
	freeDesc    = prometheus.NewDesc("fawnrock_level_by_conditions", "The level that the conditions ask for.", nil, nil)
	changesDesc = prometheus.NewDesc("fawnrock_level_changes_total", "Changes of the level.", nil, nil)
	sensorDesc  = prometheus.NewDesc("fawnrock_level_sensor", "What a sensor says.", []string{"sensor"}, nil)
	turnedDesc  = prometheus.NewDesc("fawnrock_level_turned_away_total", "Requests turned away by the level.", []string{"class"}, nil)
)

// Describe implements prometheus.Collector.
func (c *collector) Describe(to chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{levelDesc, freeDesc, changesDesc, sensorDesc, turnedDesc} {
		to <- d
	}
}

// Collect implements prometheus.Collector.
func (c *collector) Collect(to chan<- prometheus.Metric) {
	var v level.View
	if err := admin.Get(context.Background(), c.socket, "level", &v); err != nil {
		to <- prometheus.NewInvalidMetric(levelDesc, err)
		return
	}
	gauge := func(d *prometheus.Desc, kind prometheus.ValueType, x float64, labels ...string) {
		to <- prometheus.MustNewConstMetric(d, kind, x, labels...)
	}
	now, _ := level.Parse(v.Level)
	free, _ := level.Parse(v.Free)
	gauge(levelDesc, prometheus.GaugeValue, float64(now))
	gauge(freeDesc, prometheus.GaugeValue, float64(free))
	gauge(changesDesc, prometheus.CounterValue, float64(v.ChangeCount))
	for _, k := range v.Conditions {
		if k.Counts {
			gauge(sensorDesc, prometheus.GaugeValue, k.Value, k.Sensor)
		}
	}
	for _, name := range sortedKeys(v.Turned) {
		gauge(turnedDesc, prometheus.CounterValue, float64(v.Turned[name]), name)
	}
}

// handler shows the level of the daemon at a socket.
func levelHandler(socket string) http.Handler {
	page := template.Must(template.New("level").Funcs(template.FuncMap{
		"round": func(d time.Duration) string { return d.Round(time.Second).String() }, "threshold": threshold,
	}).Parse(levelPage))
	registry := prometheus.NewRegistry()
	registry.MustRegister(&collector{socket})
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /{$}", func(w http.ResponseWriter, r *http.Request) {
		var v level.View
		if err := admin.Get(r.Context(), socket, "level", &v); err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		var text bytes.Buffer
		if err := page.Execute(&text, &v); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "text/html; charset=utf-8")
		w.Header().Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'")
		w.Write(text.Bytes())
	})
	mux.HandleFunc("GET /level", func(w http.ResponseWriter, r *http.Request) {
		var v level.View
		if err := admin.Get(r.Context(), socket, "level", &v); err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(&v)
	})
	return mux
}

func (c *levelCmd) serve(s *streams) error {
	ln, err := net.Listen("tcp", c.Serve)
	if err != nil {
		return fmt.Errorf("--serve: %w", err)
	}
	fmt.Fprintf(s.out, "http://%s\n", ln.Addr())
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	srv := &http.Server{Handler: levelHandler(c.Socket), ReadTimeout: 5 * time.Second, WriteTimeout: 10 * time.Second, IdleTimeout: 30 * time.Second, MaxHeaderBytes: 8 << 10}
	go func() {
		<-ctx.Done()
		srv.Close()
	}()
	if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
