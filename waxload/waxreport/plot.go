package waxreport

import (
	"io"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"waxwingdrift.org/waxfleet"
)

// Point is one interval of the timeline.
type Point struct {
	// At is the start of the interval.
	At       time.Duration
	Requests int
	// FirstP50 and FirstP95 are first-token times in ms.
	FirstP50 float64
	FirstP95 float64
	Skew     float64
	Reuse    float64
	// Errors is the share of requests with a result code other than ok.
	Errors float64
}

// Timeline groups the run into intervals; empty ones are left out.
func Timeline(in Input, interval time.Duration) []Point {
	if interval <= 0 {
		return nil
	}
	last := time.Duration(0)
	groups := map[time.Duration]*Input{}
	group := func(at time.Duration) *Input {
		start := at.Truncate(interval)
		last = max(last, start)
		if groups[start] == nil {
			groups[start] = &Input{}
		}
		return groups[start]
	}
	for _, s := range in.Samples {
		g := group(s.At)
		g.Samples = append(g.Samples, s)
	}
	for _, s := range in.Skew {
		g := group(s.At)
		g.Skew = append(g.Skew, s)
	}
	var points []Point
	for at := time.Duration(0); at <= last; at += interval {
		if g := groups[at]; g != nil {
			points = append(points, point(at, *g))
		}
	}
	return points
}

func point(at time.Duration, in Input) Point {
	r := Build(in)
	failed := 0
	for _, c := range r.Codes {
		if c.Code != waxfleet.CodeOK {
			failed += c.Count
		}
	}
	return Point{
		At: at, Requests: r.Requests,
		FirstP50: r.FirstToken[0].P50, FirstP95: r.FirstToken[0].P95,
		Skew: r.Skew.P50, Reuse: r.Reuse, Errors: ratio(failed, r.Requests),
	}
}

type series struct {
	name  string
	value func(Point) float64
}

const (
	plotWidth   = 20 * vg.Centimeter
	panelHeight = 6 * vg.Centimeter
)

// WritePlot writes the timeline as SVG with one panel each for first-token
// times, skew, and the shares of reuse and errors.
func WritePlot(w io.Writer, title string, points []Point) error {
	panels := []struct {
		label string
		lines []series
	}{
		{"first token (ms)", []series{
			{"p50", func(p Point) float64 { return p.FirstP50 }},
			{"p95", func(p Point) float64 { return p.FirstP95 }},
		}},
		{"in-flight skew", []series{{"highest / mean", func(p Point) float64 { return p.Skew }}}},
		{"share", []series{
			{"reuse", func(p Point) float64 { return p.Reuse }},
			{"errors", func(p Point) float64 { return p.Errors }},
		}},
	}
	plots := make([][]*plot.Plot, len(panels))
	for i, panel := range panels {
		p, err := newPanel(panel.label, panel.lines, points)
		if err != nil {
			return err
		}
		plots[i] = []*plot.Plot{p}
	}
	plots[0][0].Title.Text = title
	canvas := vgsvg.New(plotWidth, panelHeight*vg.Length(len(panels)))
	tiles := draw.Tiles{Rows: len(panels), Cols: 1}
	for i, row := range plot.Align(plots, tiles, draw.New(canvas)) {
		plots[i][0].Draw(row[0])
	}
	_, err := canvas.WriteTo(w)
	return err
}

func newPanel(label string, lines []series, points []Point) (*plot.Plot, error) {
	p := plot.New()
	p.X.Label.Text = "time (s)"
	p.Y.Label.Text = label
	p.Y.Min = 0
	p.Add(plotter.NewGrid())
	for i, s := range lines {
		xys := make(plotter.XYs, len(points))
		for k, pt := range points {
			xys[k] = plotter.XY{X: pt.At.Seconds(), Y: s.value(pt)}
		}
		line, err := plotter.NewLine(xys)
		if err != nil {
			return nil, err
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(s.name, line)
	}
	return p, nil
}
