// Package ccmetric counts what one process does, and serves the counts.
//
// The counters are those of expvar, but each process has a set of its own
// instead of the global one, so that several processes can live in one program.
//
// # Usage
//
//	set := ccmetric.NewSet("entry-1")
//	jobs := set.Int("jobsAccepted")
//	set.Func("queueTasks", func() any { return depth.Load() })
//	jobs.Add(1)
//	mux.Handle("/debug/vars", set)
package ccmetric

import (
	"expvar"
	"fmt"
	"net/http"
	"runtime"
	"runtime/metrics"
	"sync"
	"time"
)

// memoryMetric is all memory that the program holds, in bytes.
const memoryMetric = "/memory/classes/total:bytes"

// Set is the metrics of one process. Its methods may be called from any
// goroutine.
type Set struct {
	mu   sync.Mutex // Held while a counter is looked up or made.
	vars *expvar.Map
}

// NewSet returns a set with the process's name and what the runtime knows: the
// time since the set was made in seconds, the memory held in bytes and the
// number of goroutines.
func NewSet(name string) *Set {
	s := &Set{vars: new(expvar.Map).Init()}
	started := time.Now()
	s.Func("process", func() any { return name })
	s.Func("uptimeSeconds", func() any { return time.Since(started).Seconds() })
	s.Func("memoryBytes", func() any { return memoryBytes() })
	s.Func("goroutines", func() any { return runtime.NumGoroutine() })
	return s
}

// Int returns the counter of that name. Asking twice gives the same counter.
func (s *Set) Int(name string) *expvar.Int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known, ok := s.vars.Get(name).(*expvar.Int); ok {
		return known
	}
	counter := new(expvar.Int)
	s.vars.Set(name, counter)
	return counter
}

// Func adds a value that is worked out when it is asked for. The function may be
// called from any goroutine and returns what JSON can write.
func (s *Set) Func(name string, value func() any) {
	s.vars.Set(name, expvar.Func(value))
}

// Map adds counters with names of their own below one name, such as the refusals
// by kind.
func (s *Set) Map(name string) *expvar.Map {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known, ok := s.vars.Get(name).(*expvar.Map); ok {
		return known
	}
	counters := new(expvar.Map).Init()
	s.vars.Set(name, counters)
	return counters
}

// ServeHTTP writes the whole set as one JSON object.
func (s *Set) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	_, _ = fmt.Fprintln(w, s.vars.String())
}

func memoryBytes() uint64 {
	sample := []metrics.Sample{{Name: memoryMetric}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindUint64 {
		return 0
	}
	return sample[0].Value.Uint64()
}
