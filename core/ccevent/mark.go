package ccevent

import "fmt"

// shape is the outline of a mark.
type shape int

const (
	shapeCircle shape = iota
	shapeRing         // A circle that is not filled.
	shapeSquare
	shapeDiamond
	shapeUp   // A triangle that points up.
	shapeDown // A triangle that points down.
	shapeCross
)

// Colors of marks. Each stands for one concern.
const (
	colorJob     = "#1f5fbf" // A job comes and goes.
	colorClaim   = "#7a3fb0" // Who may drive a job, leases and cells.
	colorTask    = "#1b8a4b" // Tasks are sent, run and answered.
	colorBack    = "#c77700" // Tasks that come back or may not start.
	colorTrouble = "#c4232b" // Failures of jobs and processes.
	colorFleet   = "#5c6670" // Processes, leases and versions.
)

// markSize is half of a mark's width, in pixels.
const markSize = 4.5

// mark is how one kind of event is drawn.
type mark struct {
	shape shape
	color string
}

// markOf returns the mark of a kind.
func markOf(kind Kind) mark {
	if m, known := marks[kind]; known {
		return m
	}
	return mark{shapeCircle, colorFleet}
}

var marks = map[Kind]mark{
	KindAccepted:   {shapeCircle, colorJob},
	KindCompleted:  {shapeSquare, colorJob},
	KindCanceled:   {shapeCross, colorJob},
	KindClaimed:    {shapeCircle, colorClaim},
	KindGranted:    {shapeSquare, colorClaim},
	KindAttached:   {shapeRing, colorClaim},
	KindRecovered:  {shapeDiamond, colorClaim},
	KindLeaseTaken: {shapeUp, colorClaim},
	KindLeaseLost:  {shapeCross, colorClaim},
	KindSent:       {shapeDown, colorTask},
	KindAnswered:   {shapeUp, colorTask},
	KindStarted:    {shapeCircle, colorTask},
	KindFinished:   {shapeSquare, colorTask},
	KindReturned:   {shapeUp, colorBack},
	KindRevoked:    {shapeCross, colorBack},
	KindBounced:    {shapeDiamond, colorBack},
	KindFenced:     {shapeSquare, colorBack},
	KindRefused:    {shapeRing, colorTrouble},
	KindFailed:     {shapeCross, colorTrouble},
	KindEjected:    {shapeDown, colorTrouble},
	KindAgentDown:  {shapeSquare, colorTrouble},
	KindCutOff:     {shapeDiamond, colorTrouble},
	KindOutage:     {shapeCircle, colorTrouble},
	KindPaused:     {shapeUp, colorTrouble},
	KindReadmit:    {shapeUp, colorFleet},
	KindAgentUp:    {shapeSquare, colorFleet},
	KindUp:         {shapeCircle, colorFleet},
	KindDown:       {shapeCross, colorFleet},
	KindDraining:   {shapeDown, colorFleet},
	KindVersion:    {shapeDiamond, colorFleet},
	KindCell:       {shapeDown, colorClaim},
	KindRoster:     {shapeRing, colorFleet},
}

// draw returns the mark as an SVG element at the given place.
func (m mark) draw(x, y float64) string {
	const s = markSize
	switch m.shape {
	case shapeRing:
		return fmt.Sprintf(`<circle cx="%.1f" cy="%.1f" r="%.1f" fill="#fff" stroke="%s" stroke-width="2"/>`, x, y, s-0.5, m.color)
	case shapeSquare:
		return fmt.Sprintf(`<rect x="%.1f" y="%.1f" width="%.1f" height="%.1f" fill="%s"/>`, x-s, y-s, 2*s, 2*s, m.color)
	case shapeDiamond:
		return fmt.Sprintf(`<path d="M%.1f %.1fl%.1f %.1fl%.1f %.1fl%.1f %.1fz" fill="%s"/>`, x, y-s-1, s+1, s+1, -s-1, s+1, -s-1, -s-1, m.color)
	case shapeUp:
		return fmt.Sprintf(`<path d="M%.1f %.1fl%.1f %.1fh%.1fz" fill="%s"/>`, x, y-s, s, 2*s, -2*s, m.color)
	case shapeDown:
		return fmt.Sprintf(`<path d="M%.1f %.1fl%.1f %.1fh%.1fz" fill="%s"/>`, x, y+s, s, -2*s, -2*s, m.color)
	case shapeCross:
		return fmt.Sprintf(`<path d="M%.1f %.1fl%.1f %.1fm0 %.1fl%.1f %.1f" stroke="%s" stroke-width="2.5"/>`, x-s, y-s, 2*s, 2*s, -2*s, -2*s, 2*s, m.color)
	default:
		return fmt.Sprintf(`<circle cx="%.1f" cy="%.1f" r="%.1f" fill="%s"/>`, x, y, s, m.color)
	}
}
