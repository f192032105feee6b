package main

import (
	"sync"
	"time"
)

// The bounds of the rule UNASKED.
const (
	cancelBound = 3 * time.Second
	stopBound   = 50 * time.Millisecond
	// checkMargin is for the time between a stand-in's event and its record.
	checkMargin = 100 * time.Millisecond
)

// cancelWhileRunning hands in jobs and cancels one in four of them while its tasks run.
func cancelWhileRunning(rec *record, trouble bool) (bool, error) {
	f, err := startFleet(rec, 2, 4)
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return false, err
	}
	type cancelled struct {
		job   job
		acked time.Time
	}
	var (
		mu   sync.Mutex
		wg   sync.WaitGroup
		acks []cancelled
	)
	for i := range 16 {
		entry := f.entries[i%2]
		// Every worker has room for eight of the tasks.
		j := job{id: newID(), tasks: 4, workMS: 3500, cpu: 2000, deadline: 12 * time.Second}
		wg.Add(1)
		go func() {
			defer wg.Done()
			f.send(entry, j)
		}()
		if trouble && i%4 == 3 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				time.Sleep(150 * time.Millisecond)
				out := f.cancel(entry, j)
				if out.status/100 == 2 || out.status == 410 {
					mu.Lock()
					defer mu.Unlock()
					acks = append(acks, cancelled{j, out.ended})
				}
			}()
		}
		time.Sleep(30 * time.Millisecond)
	}
	wg.Wait()
	broken := 0
	for _, c := range acks {
		for _, w := range f.workers {
			for _, r := range w.runsOf(c.job.id) {
				after := r.start.Sub(c.acked)
				ran := r.end.Sub(c.acked)
				switch {
				case after > cancelBound+checkMargin:
					broken++
					rec.add("UNASKED: %s starts at %s %.0f ms after the cancel of its job was acknowledged", r.task, r.worker, after.Seconds()*1000)
				case ran > cancelBound+stopBound+checkMargin:
					broken++
					rec.add("UNASKED: %s runs at %s until %.0f ms after the cancel of its job was acknowledged, and ends %s", r.task, r.worker, ran.Seconds()*1000, r.how)
				}
			}
		}
	}
	rec.add("%d cancels acknowledged, %d runs too late", len(acks), broken)
	return broken > 0, nil
}
