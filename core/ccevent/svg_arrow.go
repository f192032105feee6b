package ccevent

import (
	"math"
	"strings"

	"camphorcroft/core/ccnode"
)

// svgNearRows is the maximum number of rows that an arrow drawn at high opacity
// spans.
const svgNearRows = 12

// arrows draws an arrow from each cause to its effect.
func (d *drawing) arrows() {
	for i := range d.steps {
		step := &d.steps[i]
		to := d.column[step.Node]
		from, row, known := d.causeOf(step)
		if !known || from == to {
			continue
		}
		opacity := 0.75
		if i-row > svgNearRows {
			opacity = 0.22
		}
		d.arrow(d.x(from), d.y(row), d.x(to), d.y(i), opacity)
	}
}

// causeOf returns the column and row of a step's cause. known is false if the
// filter removed the cause or it belongs to a silent process.
func (d *drawing) causeOf(step *Step) (column, row int, known bool) {
	column, known = d.newest[step.Cause.Node]
	if !known {
		return 0, 0, false
	}
	ref := d.columns[column].Node
	if step.Cause.Incarnation != 0 {
		ref.Incarnation = step.Cause.Incarnation
	}
	column, known = d.column[ref]
	if !known {
		return 0, 0, false
	}
	row, known = d.row[stepKey{ref, step.Cause.Seq}]
	return column, row, known
}

func (d *drawing) arrow(x1, y1, x2, y2, opacity float64) {
	const head = 6.0
	length := math.Hypot(x2-x1, y2-y1)
	ux, uy := (x2-x1)/length, (y2-y1)/length
	// The line starts and ends at the edges of the marks.
	x1, y1 = x1+ux*markSize, y1+uy*markSize
	x2, y2 = x2-ux*(markSize+1), y2-uy*(markSize+1)
	bx, by := x2-ux*head, y2-uy*head
	d.printf(`<g stroke="#4a5560" fill="#4a5560" opacity="%.2f"><line x1="%.1f" y1="%.1f" x2="%.1f" y2="%.1f"/>`, opacity, x1, y1, bx, by)
	d.printf(`<path d="M%.1f %.1fL%.1f %.1fL%.1f %.1fz" stroke="none"/></g>`+"\n",
		x2, y2, bx-uy*head/2, by+ux*head/2, bx+uy*head/2, by-ux*head/2)
}

// marks draws the event marks on top of all lines, and a ring where a silent
// process is mentioned.
func (d *drawing) marks() {
	for i := range d.steps {
		step := &d.steps[i]
		x, y := d.x(d.column[step.Node]), d.y(i)
		for _, column := range []int{d.silentColumn(step.Peer), d.silentColumn(step.Cause.Node)} {
			if column != none {
				d.printf(`<line x1="%.1f" y1="%.1f" x2="%.1f" y2="%.1f" stroke="%s" stroke-dasharray="3 3" opacity="0.5"/>`, x, y, d.x(column), y, colorProcess)
				d.printf("%s\n", mark{shapeRing, colorProcess}.draw(d.x(column), y))
			}
		}
		d.printf("%s\n", markOf(step.Kind).draw(x, y))
	}
}

// silentColumn returns the column of a node if it is silent, or none.
func (d *drawing) silentColumn(node ccnode.ID) int {
	column, known := d.newest[node]
	if !known || !d.columns[column].Silent {
		return none
	}
	return column
}

// compareKinds orders the legend by color, then by name.
func compareKinds(a, b Kind) int {
	if c := strings.Compare(markOf(a).color, markOf(b).color); c != 0 {
		return c
	}
	return strings.Compare(string(a), string(b))
}
