// Package ccmetric collects the metrics of one process and serves them over HTTP.
//
// The counters are expvar variables, but each process has its own set instead of
// the global one, so that several processes can run in one program.
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

// memoryMetric is the runtime metric for all memory mapped by the program, in
// bytes.
const memoryMetric = "/memory/classes/total:bytes"

// Set holds the metrics of one process. It is safe for concurrent use.
type Set struct {
	mu   sync.Mutex // Makes looking up and creating a counter atomic.
	vars *expvar.Map
}

// NewSet returns a set that contains the process's name and the runtime metrics:
// the seconds since the set was created, the memory in bytes and the number of
// goroutines.
func NewSet(name string) *Set {
	s := &Set{vars: new(expvar.Map).Init()}
	createdAt := time.Now()
	s.Func("process", func() any { return name })
	s.Func("uptimeSeconds", func() any { return time.Since(createdAt).Seconds() })
	s.Func("memoryBytes", func() any { return memoryBytes() })
	s.Func("goroutines", func() any { return runtime.NumGoroutine() })
	return s
}

// Int returns the counter with the given name and creates it on first use.
func (s *Set) Int(name string) *expvar.Int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if existing, ok := s.vars.Get(name).(*expvar.Int); ok {
		return existing
	}
	counter := new(expvar.Int)
	s.vars.Set(name, counter)
	return counter
}

// Func adds a metric that is computed each time the set is served. The function
// must be safe for concurrent use and return a value that JSON can encode.
func (s *Set) Func(name string, value func() any) {
	s.vars.Set(name, expvar.Func(value))
}

// Map returns the group of counters with the given name, such as the refusals by
// kind, and creates it on first use.
func (s *Set) Map(name string) *expvar.Map {
	s.mu.Lock()
	defer s.mu.Unlock()
	if existing, ok := s.vars.Get(name).(*expvar.Map); ok {
		return existing
	}
	counters := new(expvar.Map).Init()
	s.vars.Set(name, counters)
	return counters
}

// ServeHTTP writes all metrics of the set as one JSON object.
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
