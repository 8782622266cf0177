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

// barsMost bounds a picture: of a larger fleet every n-th node is drawn, and it says so.
const barsMost = 120

// SVG writes the picture of a plan's nodes: what each can do, and what it has to.
func SVG(w io.Writer, p *plan.Plan) error {
	nodes := slices.Clone(p.Nodes)
	slices.SortStableFunc(nodes, func(a, b plan.NodePlan) int { return bytes.Compare([]byte(a.Zone), []byte(b.Zone)) })
	every := (len(nodes) + barsMost - 1) / barsMost
	pl := plot.New()
	pl.Title.Text = fmt.Sprintf("%s: work %.4g s a second, capacity %.4g", p.Status, p.Demand, p.Capacity)
	if every > 1 {
		pl.Title.Text += fmt.Sprintf("; one of %d nodes is drawn", every)
	}
	pl.Y.Label.Text = "seconds of work a second"
	pl.Y.Min = 0
	var capacity, load plotter.Values
	var names []string
	zone := ""
	for n := 0; n < len(nodes); n += every {
		d := nodes[n]
		capacity, load = append(capacity, d.Capacity), append(load, d.Load)
		if d.Zone != zone {
			zone = d.Zone
			names = append(names, zone)
		} else {
			names = append(names, "")
		}
	}
	width := vg.Points(max(3, 600/float64(len(names))))
	can, err := plotter.NewBarChart(capacity, width)
	if err != nil {
		return err
	}
	can.Color, can.LineStyle.Width = color.Gray{215}, 0
	has, err := plotter.NewBarChart(load, width)
	if err != nil {
		return err
	}
	has.Color, has.LineStyle.Width = color.RGBA{40, 90, 160, 255}, 0
	pl.Add(can, has)
	pl.Legend.Add("can do", can)
	pl.Legend.Add("has to do", has)
	pl.Legend.Top = true
	pl.NominalX(names...)
	to, err := pl.WriterTo(vg.Length(max(400, 8*len(names)+120)), 300, "svg")
	if err != nil {
		return err
	}
	_, err = to.WriteTo(w)
	return err
}
