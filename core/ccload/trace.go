package ccload

import (
	"bufio"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"time"

	"camphorcroft/core/ccjob"
)

// line is one arrival in a trace. Times are in milliseconds.
type line struct {
	AtMS       float64 `json:"atMS"`
	Service    string  `json:"service"`
	Team       string  `json:"team"`
	DeadlineMS int64   `json:"deadlineMS"`
	DeclaredMS int64   `json:"declaredMS,omitempty"`
	TasksMS    []int64 `json:"tasksMS"`
	ResubmitMS float64 `json:"resubmitMS,omitempty"`
	CancelMS   float64 `json:"cancelMS,omitempty"`
	LeaveMS    float64 `json:"leaveMS,omitempty"`
}

// WriteTrace writes the plan as one JSON object a line.
func (p *Plan) WriteTrace(w io.Writer) error {
	buffered := bufio.NewWriter(w)
	encoder := json.NewEncoder(buffered)
	for i := range p.Arrivals {
		if err := encoder.Encode(toLine(&p.Arrivals[i])); err != nil {
			return newError("write trace", KindTrace, err.Error())
		}
	}
	if err := buffered.Flush(); err != nil {
		return newError("write trace", KindTrace, err.Error())
	}
	return nil
}

// ReadTrace reads a plan that WriteTrace, or a recorder, wrote. The error is an
// *Error of KindTrace that names the line.
func ReadTrace(r io.Reader) (*Plan, error) {
	decoder := json.NewDecoder(r)
	decoder.DisallowUnknownFields()
	plan := &Plan{}
	for number := 1; ; number++ {
		var l line
		if err := decoder.Decode(&l); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			return nil, newError("read trace", KindTrace, fmt.Sprintf("arrival %d: %v", number, err))
		}
		if len(l.TasksMS) == 0 || len(l.TasksMS) > ccjob.MaxTasks || l.AtMS < 0 || l.DeadlineMS <= 0 {
			return nil, newError("read trace", KindTrace, fmt.Sprintf("arrival %d: tasksMS, atMS or deadlineMS is out of range", number))
		}
		plan.Arrivals = append(plan.Arrivals, l.arrival())
	}
	slices.SortStableFunc(plan.Arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	for number := range plan.Arrivals {
		plan.Arrivals[number].Number = number
		plan.Duration = plan.Arrivals[number].At
	}
	return plan, nil
}

func toLine(a *Arrival) line {
	l := line{
		AtMS:       toMS(a.At),
		Service:    a.Service,
		Team:       a.Team,
		DeadlineMS: a.Deadline.Milliseconds(),
		DeclaredMS: a.Declared.Milliseconds(),
		ResubmitMS: toMS(a.ResubmitAfter),
		CancelMS:   toMS(a.CancelAfter),
		LeaveMS:    toMS(a.LeaveAfter),
	}
	for _, task := range a.Tasks {
		l.TasksMS = append(l.TasksMS, task.Milliseconds())
	}
	return l
}

func (l *line) arrival() Arrival {
	a := Arrival{
		Service:       l.Service,
		Team:          l.Team,
		At:            fromMS(l.AtMS),
		Deadline:      time.Duration(l.DeadlineMS) * time.Millisecond,
		Declared:      time.Duration(l.DeclaredMS) * time.Millisecond,
		ResubmitAfter: fromMS(l.ResubmitMS),
		CancelAfter:   fromMS(l.CancelMS),
		LeaveAfter:    fromMS(l.LeaveMS),
	}
	for _, task := range l.TasksMS {
		a.Tasks = append(a.Tasks, time.Duration(task)*time.Millisecond)
	}
	return a
}

func toMS(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func fromMS(ms float64) time.Duration {
	return time.Duration(math.Round(ms*1000)) * time.Microsecond
}
