package ccevent

import (
	"bufio"
	"cmp"
	"fmt"
	"html"
	"io"
	"slices"
	"time"

	"camphorcroft/core/ccnode"
)

// MaxDrawn is the maximum number of events in one drawing. Later events are
// omitted, and their number is shown below the last row.
const MaxDrawn = 2000

// Dimensions of the drawing: pixels, except for svgTextChars and svgNameChars,
// which are in characters, and the ratio svgSlant.
const (
	svgMargin      = 16.0
	svgRowHeight   = 17.0
	svgLaneGap     = 34.0
	svgCharWidth   = 6.7 // Width of a character of the monospaced font at svgFontSize.
	svgFontSize    = 11.0
	svgTimeWidth   = 92.0
	svgLegendWidth = 112.0 // Width of one legend item.
	svgLegendRows  = 17.0
	svgTextChars   = 110 // Longer lines are truncated; the tooltip has the full text.
	svgNameChars   = 24
	svgSlant       = 0.71 // Sine of the angle of the lane names.
)

// WriteSVG draws the timeline: a column for each process, a row for each event
// with its mark and text, and an arrow from each cause in the drawing to its
// effect. Silent processes have a dashed line, with a ring where others mention
// them. The SVG file is self-contained.
func WriteSVG(w io.Writer, timeline Timeline) error {
	d := newDrawing(w, timeline)
	d.frame()
	d.legend()
	d.names()
	d.rows()
	d.arrows()
	d.marks()
	d.printf("</svg>\n")
	return d.out.Flush()
}

// drawing holds the layout and the output of one SVG drawing.
type drawing struct {
	out     *bufio.Writer
	steps   []Step
	omitted int // Number of steps beyond MaxDrawn.
	columns []*Lane
	column  map[ccnode.Ref]int
	newest  map[ccnode.ID]int // The column of each node's newest incarnation.
	row     map[stepKey]int
	kinds   []Kind
	top     float64 // Y coordinate of the first row's upper edge.
}

type stepKey struct {
	node ccnode.Ref
	seq  uint64
}

func newDrawing(w io.Writer, timeline Timeline) *drawing {
	d := &drawing{
		out:    bufio.NewWriter(w),
		steps:  timeline.Steps,
		column: make(map[ccnode.Ref]int),
		newest: make(map[ccnode.ID]int),
		row:    make(map[stepKey]int),
	}
	if len(d.steps) > MaxDrawn {
		d.omitted = len(d.steps) - MaxDrawn
		d.steps = d.steps[:MaxDrawn]
	}
	d.layOut(timeline.Lanes)
	return d
}

// layOut assigns a row to each step and a column to each process that has or is
// mentioned in a step, in order of appearance.
func (d *drawing) layOut(lanes []Lane) {
	firstEvent := make(map[ccnode.Ref]int)  // The first row with an event of each process.
	firstMention := make(map[ccnode.ID]int) // The first row that mentions each node.
	kinds := make(map[Kind]bool)
	for i := range d.steps {
		step := &d.steps[i]
		d.row[stepKey{step.Node, step.Seq}] = i
		if step.LastSeq > 0 {
			d.row[stepKey{step.Node, step.LastSeq}] = i
		}
		setIfAbsent(firstEvent, step.Node, i)
		setIfAbsent(firstMention, step.Peer, i)
		setIfAbsent(firstMention, step.Cause.Node, i)
		kinds[step.Kind] = true
	}
	firstRow := make(map[ccnode.Ref]int)
	for i := range lanes {
		l := &lanes[i]
		row, drawn := firstEvent[l.Node]
		if l.Silent {
			row, drawn = firstMention[l.Node.ID]
		}
		if drawn {
			firstRow[l.Node] = row
			d.columns = append(d.columns, l)
		}
	}
	slices.SortStableFunc(d.columns, func(a, b *Lane) int { return cmp.Compare(firstRow[a.Node], firstRow[b.Node]) })
	for i, l := range d.columns {
		d.column[l.Node] = i
		d.newest[l.Node.ID] = i
	}
	for kind := range kinds {
		d.kinds = append(d.kinds, kind)
	}
	slices.SortFunc(d.kinds, compareKinds)
}

func setIfAbsent[K comparable](first map[K]int, key K, row int) {
	if _, known := first[key]; !known {
		first[key] = row
	}
}

func (d *drawing) printf(format string, args ...any) {
	// bufio.Writer reports a failed write again on Flush.
	_, _ = fmt.Fprintf(d.out, format, args...)
}

func (d *drawing) x(column int) float64 {
	return svgMargin + svgTimeWidth + svgLaneGap*(float64(column)+0.5)
}

func (d *drawing) y(row int) float64 {
	return d.top + svgRowHeight*(float64(row)+0.5)
}

func (d *drawing) textX() float64 {
	return d.x(len(d.columns)) + svgMargin/2
}

func (d *drawing) width() float64 {
	return d.textX() + svgTextChars*svgCharWidth + svgMargin
}

// legendColumns returns the number of legend items per row.
func (d *drawing) legendColumns() int {
	return max(1, int((d.width()-2*svgMargin)/svgLegendWidth))
}

func (d *drawing) frame() {
	legendRows := (len(d.kinds) + d.legendColumns() - 1) / d.legendColumns()
	longest := 0
	for _, l := range d.columns {
		longest = max(longest, min(svgNameChars, len(l.Node.ID)))
	}
	d.top = svgMargin + svgLegendRows*float64(legendRows) + float64(longest)*svgCharWidth*svgSlant + 2*svgFontSize
	height := d.top + svgRowHeight*float64(len(d.steps)+1) + svgMargin
	d.printf(`<svg xmlns="http://www.w3.org/2000/svg" width="%.0f" height="%.0f" viewBox="0 0 %.0f %.0f" font-family="monospace" font-size="%.0f" fill="#222">`+"\n",
		d.width(), height, d.width(), height, svgFontSize)
	d.printf("<title>Time line</title>\n")
	d.printf(`<rect width="100%%" height="100%%" fill="#fff"/>` + "\n")
}

func (d *drawing) legend() {
	for i, kind := range d.kinds {
		x := svgMargin + float64(i%d.legendColumns())*svgLegendWidth
		y := svgMargin + float64(i/d.legendColumns())*svgLegendRows
		d.printf("%s", markOf(kind).draw(x+markSize, y))
		d.text(x+4*markSize, y+svgFontSize/3, string(kind))
	}
}

// names writes the process names, slanted so that long ones don't overlap, and
// draws the vertical line of each process.
func (d *drawing) names() {
	bottom := d.y(len(d.steps))
	for i, l := range d.columns {
		x, dash := d.x(i), ""
		if l.Silent {
			dash = ` stroke-dasharray="2 5"`
		}
		d.printf(`<line x1="%.1f" y1="%.1f" x2="%.1f" y2="%.1f" stroke="#b8c0c8"%s/>`+"\n", x, d.top, x, bottom, dash)
		d.printf(`<text transform="translate(%.1f %.1f) rotate(-45)">%s<title>%s: %s</title></text>`+"\n",
			x+2, d.top-svgFontSize/2, html.EscapeString(clip(string(l.Node.ID), svgNameChars)), html.EscapeString(l.Node.String()), html.EscapeString(laneText(l)))
	}
}

// rows writes the time and text of each event.
func (d *drawing) rows() {
	text := TextWriter{Job: onlyJob(d.steps)}
	for i := range d.steps {
		step := &d.steps[i]
		if i%2 == 1 {
			d.printf(`<rect x="%.1f" y="%.1f" width="%.1f" height="%.1f" fill="#000" opacity="0.035"/>`+"\n",
				svgMargin, d.y(i)-svgRowHeight/2, d.width()-2*svgMargin, svgRowHeight)
		}
		d.text(svgMargin, d.y(i)+svgFontSize/3, rowTime(d.steps[0].When, step.When, i))
		d.printf(`<g>`)
		d.text(d.textX(), d.y(i)+svgFontSize/3, clip(rowText(text, step), svgTextChars))
		d.printf("<title>%s</title></g>\n", html.EscapeString(step.When.UTC().Format(time.RFC3339Nano)+" "+rowText(text, step)))
	}
	if d.omitted > 0 {
		d.text(d.textX(), d.y(len(d.steps))+svgFontSize/3, fmt.Sprintf("%d later events are left out. Filter to see them.", d.omitted))
	}
}

// rowTime formats the time of the first row, and for other rows the time elapsed
// since then.
func rowTime(first, when time.Time, row int) string {
	if row == 0 {
		return when.UTC().Format(secondLayout)
	}
	return fmt.Sprintf("%+10.3fms", float64(when.Sub(first))/float64(time.Millisecond))
}

func rowText(writer TextWriter, step *Step) string {
	text := fmt.Sprintf("%s %s", step.Node.ID, step.Kind)
	for _, part := range writer.details(step) {
		text += " " + part
	}
	if step.Dropped > 0 {
		text += fmt.Sprintf(" (%s dropped before)", eventCount(step.Dropped))
	}
	return text
}

func (d *drawing) text(x, y float64, text string) {
	d.printf(`<text x="%.1f" y="%.1f" xml:space="preserve">%s</text>`+"\n", x, y, html.EscapeString(text))
}

// clip truncates a text to the given number of characters.
func clip(text string, limit int) string {
	runes := []rune(text)
	if len(runes) <= limit {
		return text
	}
	return string(runes[:limit-1]) + "…"
}
