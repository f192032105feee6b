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

// traceRecord is the JSON form of an arrival in a trace. Times are in milliseconds.
type traceRecord struct {
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

// WriteTrace writes the plan as JSON lines, one arrival each.
func (p *Plan) WriteTrace(w io.Writer) error {
	buffered := bufio.NewWriter(w)
	encoder := json.NewEncoder(buffered)
	for i := range p.Arrivals {
		if err := encoder.Encode(newTraceRecord(&p.Arrivals[i])); err != nil {
			return newError("write trace", KindTrace, err.Error())
		}
	}
	if err := buffered.Flush(); err != nil {
		return newError("write trace", KindTrace, err.Error())
	}
	return nil
}

// ReadTrace reads a plan that was written by WriteTrace or by a recorder. The
// error is an *Error of KindTrace that gives the number of the arrival.
func ReadTrace(r io.Reader) (*Plan, error) {
	decoder := json.NewDecoder(r)
	decoder.DisallowUnknownFields()
	plan := &Plan{}
	for number := 1; ; number++ {
		var record traceRecord
		if err := decoder.Decode(&record); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			return nil, newError("read trace", KindTrace, fmt.Sprintf("arrival %d: %v", number, err))
		}
		if len(record.TasksMS) == 0 || len(record.TasksMS) > ccjob.MaxTasks || record.AtMS < 0 || record.DeadlineMS <= 0 {
			return nil, newError("read trace", KindTrace, fmt.Sprintf("arrival %d: tasksMS, atMS or deadlineMS is out of range", number))
		}
		plan.Arrivals = append(plan.Arrivals, record.arrival())
	}
	slices.SortStableFunc(plan.Arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	for number := range plan.Arrivals {
		plan.Arrivals[number].Number = number
		plan.Duration = plan.Arrivals[number].At
	}
	return plan, nil
}

func newTraceRecord(a *Arrival) traceRecord {
	r := traceRecord{
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
		r.TasksMS = append(r.TasksMS, task.Milliseconds())
	}
	return r
}

func (r *traceRecord) arrival() Arrival {
	a := Arrival{
		Service:       r.Service,
		Team:          r.Team,
		At:            fromMS(r.AtMS),
		Deadline:      time.Duration(r.DeadlineMS) * time.Millisecond,
		Declared:      time.Duration(r.DeclaredMS) * time.Millisecond,
		ResubmitAfter: fromMS(r.ResubmitMS),
		CancelAfter:   fromMS(r.CancelMS),
		LeaveAfter:    fromMS(r.LeaveMS),
	}
	for _, task := range r.TasksMS {
		a.Tasks = append(a.Tasks, time.Duration(task)*time.Millisecond)
	}
	return a
}

func toMS(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func fromMS(ms float64) time.Duration {
	return time.Duration(math.Round(ms*1000)) * time.Microsecond
}
