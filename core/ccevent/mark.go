package ccevent

import "fmt"

// shape is the outline of a mark.
type shape int

const (
	shapeCircle shape = iota
	shapeRing         // An unfilled circle.
	shapeSquare
	shapeDiamond
	shapeUp   // A triangle that points up.
	shapeDown // A triangle that points down.
	shapeCross
)

// Colors of marks, one per group of kinds.
const (
	colorJob      = "#1f5fbf" // Start and end of jobs.
	colorClaim    = "#7a3fb0" // Claims, leases and cells.
	colorTask     = "#1b8a4b" // Tasks are sent, run and answered.
	colorReturned = "#c77700" // Tasks that were returned or must not start.
	colorFailure  = "#c4232b" // Failures of jobs and processes.
	colorProcess  = "#5c6670" // Processes, rosters and settings versions.
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
	return mark{shapeCircle, colorProcess}
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
	KindReturned:   {shapeUp, colorReturned},
	KindRevoked:    {shapeCross, colorReturned},
	KindBounced:    {shapeDiamond, colorReturned},
	KindFenced:     {shapeSquare, colorReturned},
	KindRefused:    {shapeRing, colorFailure},
	KindFailed:     {shapeCross, colorFailure},
	KindEjected:    {shapeDown, colorFailure},
	KindAgentDown:  {shapeSquare, colorFailure},
	KindCutOff:     {shapeDiamond, colorFailure},
	KindOutage:     {shapeCircle, colorFailure},
	KindPaused:     {shapeUp, colorFailure},
	KindReadmit:    {shapeUp, colorProcess},
	KindAgentUp:    {shapeSquare, colorProcess},
	KindUp:         {shapeCircle, colorProcess},
	KindDown:       {shapeCross, colorProcess},
	KindDraining:   {shapeDown, colorProcess},
	KindVersion:    {shapeDiamond, colorProcess},
	KindCell:       {shapeDown, colorClaim},
	KindRoster:     {shapeRing, colorProcess},
}

// draw returns the mark as an SVG element centered at the given position.
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
