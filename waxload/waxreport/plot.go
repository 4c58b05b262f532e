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

// Point holds the measurements of one interval of a timeline.
type Point struct {
	// At is the start of the interval.
	At       time.Duration
	Requests int
	// TTFTP50 and TTFTP95 are percentiles of the time to first token, in ms.
	TTFTP50 float64
	TTFTP95 float64
	// Skew is the median of the load skew as in SkewSample.
	Skew float64
	// CacheReuse is as in Report.
	CacheReuse float64
	// ErrorRate is the share of requests with a result code other than CodeOK.
	ErrorRate float64
}

// Timeline divides a run into intervals and returns a point for each. Intervals
// without samples are left out. An interval that is not positive gives no points.
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
		g := group(s.SentAt)
		g.Samples = append(g.Samples, s)
	}
	for _, s := range in.Skew {
		g := group(s.At)
		g.Skew = append(g.Skew, s)
	}
	var points []Point
	for at := time.Duration(0); at <= last; at += interval {
		if g := groups[at]; g != nil {
			points = append(points, newPoint(at, *g))
		}
	}
	return points
}

func newPoint(at time.Duration, in Input) Point {
	r := Build(in)
	failures := 0
	for _, c := range r.Codes {
		if c.Code != waxfleet.CodeOK {
			failures += c.Count
		}
	}
	return Point{
		At:         at,
		Requests:   r.Requests,
		TTFTP50:    r.TTFT[0].P50,
		TTFTP95:    r.TTFT[0].P95,
		Skew:       r.Skew.P50,
		CacheReuse: r.CacheReuse,
		ErrorRate:  ratio(failures, r.Requests),
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

// WritePlot plots a timeline as SVG. It has one panel for the time to first token,
// one for the load skew and one for cache reuse and error rate.
func WritePlot(w io.Writer, title string, points []Point) error {
	panels := []struct {
		label string
		lines []series
	}{
		{"time to first token (ms)", []series{
			{"p50", func(p Point) float64 { return p.TTFTP50 }},
			{"p95", func(p Point) float64 { return p.TTFTP95 }},
		}},
		{"load skew", []series{{"max / mean", func(p Point) float64 { return p.Skew }}}},
		{"share", []series{
			{"reuse", func(p Point) float64 { return p.CacheReuse }},
			{"errors", func(p Point) float64 { return p.ErrorRate }},
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
		coordinates := make(plotter.XYs, len(points))
		for k, point := range points {
			coordinates[k] = plotter.XY{X: point.At.Seconds(), Y: s.value(point)}
		}
		line, err := plotter.NewLine(coordinates)
		if err != nil {
			return nil, err
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(s.name, line)
	}
	return p, nil
}
