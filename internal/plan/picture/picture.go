// Package picture draws a plan: how busy each node is, by zone, as SVG.
package picture

import (
	"bytes"
	"fmt"
	"image/color"
	"io"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"chalkrack/internal/plan"
)

// maxBars bounds the number of bars. Of a larger fleet only every n-th node is drawn, which the
// title says.
const maxBars = 120

// SVG writes a bar chart of a plan's nodes as an SVG image: the usable capacity and the load of
// each node, ordered by zone.
func SVG(w io.Writer, fleetPlan *plan.Plan) error {
	nodes := slices.Clone(fleetPlan.Nodes)
	slices.SortStableFunc(nodes, func(a, b plan.NodePlan) int { return bytes.Compare([]byte(a.Zone), []byte(b.Zone)) })
	stride := (len(nodes) + maxBars - 1) / maxBars
	chart := plot.New()
	chart.Title.Text = fmt.Sprintf("%s: work %.4g s per second, capacity %.4g", fleetPlan.Status, fleetPlan.Demand, fleetPlan.Capacity)
	if stride > 1 {
		chart.Title.Text += fmt.Sprintf("; 1 of every %d nodes is drawn", stride)
	}
	chart.Y.Label.Text = "seconds of work per second"
	chart.Y.Min = 0
	var capacity, load plotter.Values
	var names []string
	zone := ""
	for n := 0; n < len(nodes); n += stride {
		node := nodes[n]
		capacity, load = append(capacity, node.Capacity), append(load, node.Load)
		if node.Zone != zone {
			zone = node.Zone
			names = append(names, zone)
		} else {
			names = append(names, "")
		}
	}
	width := vg.Points(max(3, 600/float64(len(names))))
	capacityBars, err := plotter.NewBarChart(capacity, width)
	if err != nil {
		return err
	}
	capacityBars.Color, capacityBars.LineStyle.Width = color.Gray{215}, 0
	loadBars, err := plotter.NewBarChart(load, width)
	if err != nil {
		return err
	}
	loadBars.Color, loadBars.LineStyle.Width = color.RGBA{40, 90, 160, 255}, 0
	chart.Add(capacityBars, loadBars)
	chart.Legend.Add("capacity", capacityBars)
	chart.Legend.Add("load", loadBars)
	chart.Legend.Top = true
	chart.NominalX(names...)
	image, err := chart.WriterTo(vg.Length(max(400, 8*len(names)+120)), 300, "svg")
	if err != nil {
		return err
	}
	_, err = image.WriteTo(w)
	return err
}
