package ccdemand

import (
	"cmp"
	"slices"
	"time"

	"camphorcroft/core/ccresource"
)

// MaxRows is the largest number of rows of a summary: three priorities, each on time and late.
const MaxRows = 6

const (
	// defaultLasts is how long a row lasts if the rate of placements is not known: a little
	// more than the mean wait of the most urgent tasks on the overload days, 30 ms.
	defaultLasts = 50 * time.Millisecond
	// minLasts is the shortest time for which a row lasts. A message takes 1.4 ms.
	minLasts = 10 * time.Millisecond
	// lastsShare is the part of its expected wait for which a row lasts, as one in this many.
	// The whole wait gave callers of the busiest domain 0.01 to 0.02 less in the lab.
	lastsShare = 2
)

// Row describes the waiting tasks of one priority that are alike in being late or not.
type Row struct {
	// Late is true if the jobs can only end after their objectives.
	Late     bool
	Priority int // Lower values go first.
	Tasks    int // How many tasks wait, at least 1.
	// Need is that of a task of the first job.
	Need ccresource.Amount
	// Lasts is how long after the summary was made these tasks are expected to wait still.
	Lasts time.Duration
}

// Compare orders rows by urgency, the most urgent first.
func Compare(a, b Row) int {
	if a.Late != b.Late {
		if b.Late {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.Priority, b.Priority)
}

// Add adds waiting tasks to the rows of a queue, which are in the order of their urgency.
func Add(rows []Row, row Row) []Row {
	at, found := slices.BinarySearchFunc(rows, row, Compare)
	if !found {
		return slices.Insert(rows, at, row)
	}
	rows[at].Tasks += row.Tasks
	return rows
}

// Predict sets how long each row lasts, at a rate of placements in tasks per second. A rate of
// zero is not known.
func Predict(rows []Row, rate float64) []Row {
	ahead := 0
	for i := range rows {
		ahead += rows[i].Tasks
		rows[i].Lasts = defaultLasts
		if rate > 0 {
			wait := time.Duration(float64(ahead) / rate * float64(time.Second))
			rows[i].Lasts = min(max(wait/lastsShare, minLasts), maxLasts)
		}
	}
	return rows
}
