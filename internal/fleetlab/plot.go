package fleetlab

import (
	"fmt"
	"image/color"
	"os"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Plot draws a run over time, in panels one above another: the calls at each catalog and the new
// connections by bin, the requests sent and served per second, and the requests per second at each host.
// The extension of the file selects SVG or PNG.
func (r *Result) Plot(path string) error {
	panels, err := r.panels()
	if err != nil {
		return err
	}
	width, height := 20*vg.Centimeter, 5*vg.Centimeter*vg.Length(len(panels))
	canvas, err := newCanvas(path, width, height)
	if err != nil {
		return err
	}
	tiles := draw.Tiles{Rows: len(panels), Cols: 1, PadY: vg.Millimeter * 4, PadTop: vg.Millimeter * 2, PadRight: vg.Millimeter * 4, PadBottom: vg.Millimeter * 2}
	for i, p := range panels {
		p.Draw(tiles.At(draw.New(canvas), 0, i))
	}
	return saveCanvas(canvas, path)
}

// canvas is what a plot is drawn on and written from.
type canvas interface {
	vg.CanvasSizer
	vg.CanvasWriterTo
}

// newCanvas returns a canvas for the format that the extension of a path selects.
func newCanvas(path string, width, height vg.Length) (canvas, error) {
	switch ext := strings.ToLower(filepath.Ext(path)); ext {
	case ".svg":
		return vgsvg.New(width, height), nil
	case ".png":
		return vgimg.PngCanvas{Canvas: vgimg.New(width, height)}, nil
	default:
		return nil, fmt.Errorf("plot: %q is not .svg or .png", ext)
	}
}

// saveCanvas writes a canvas to a file.
func saveCanvas(c canvas, path string) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if _, err := c.WriteTo(f); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}

// panels returns the panels of a plot from top to bottom.
func (r *Result) panels() ([]*plot.Plot, error) {
	step := float64(r.Series.BinMS) / 1000
	calls, err := newPanel("calls at the catalog in 100 ms", func(p *plot.Plot) error {
		for i, c := range r.Series.Calls {
			if err := addLine(p, i, fmt.Sprintf("catalog %d", i+1), c, step); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	conns, err := newPanel("new connections to hosts in 100 ms", func(p *plot.Plot) error {
		return addLine(p, 0, "", r.Series.NewConns, step)
	})
	if err != nil {
		return nil, err
	}
	served, err := newPanel("requests a second", func(p *plot.Plot) error {
		if err := addLine(p, 0, "sent", r.Series.SentPerSecond, 1); err != nil {
			return err
		}
		return addLine(p, 1, "served in time", r.Series.ServedPerSecond, 1)
	})
	if err != nil {
		return nil, err
	}
	hosts, err := newPanel("requests a second, each host", func(p *plot.Plot) error {
		for _, h := range r.Series.HostRequests {
			l, err := plotter.NewLine(points(h, 1))
			if err != nil {
				return err
			}
			l.Color = color.NRGBA{40, 80, 160, 90}
			p.Add(l)
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	panels := []*plot.Plot{calls, conns, served, hosts}
	for _, p := range panels {
		p.X.Max = r.LengthSeconds
	}
	panels[len(panels)-1].X.Label.Text = "s"
	return panels, nil
}

// newPanel returns a panel with a title and the lines that fill adds.
func newPanel(title string, fill func(*plot.Plot) error) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = title
	p.Y.Min = 0
	p.Legend.Top = true
	return p, fill(p)
}

// addLine adds a line in the i-th color. It is in the legend unless its name is empty.
func addLine(p *plot.Plot, i int, name string, list []int, step float64) error {
	l, err := plotter.NewLine(points(list, step))
	if err != nil {
		return err
	}
	l.Color = plotutil.Color(i)
	p.Add(l)
	if name != "" {
		p.Legend.Add(name, l)
	}
	return nil
}

// points returns the values of a list as points that are step seconds apart.
func points(list []int, step float64) plotter.XYs {
	out := plotter.XYs{{X: 0, Y: 0}}
	for i, n := range list {
		out = append(out, plotter.XY{X: float64(i) * step, Y: float64(n)})
	}
	return out
}
