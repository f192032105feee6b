package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["cancel"] = caseOf{playCancel, 30 * time.Second} }

// Bounds of the page.
const (
	cancelMS = 3000 * time.Millisecond
	stopMS   = 50 * time.Millisecond
)

// playCancel sends a job that needn't be kept whose tasks don't fit at once, cancels it while it
// runs, and looks at what starts and runs later than the bounds after the answer.
func playCancel(ctx context.Context, s *system, trouble bool) ([]string, error) {
	if _, err := s.startEntry(entryIP); err != nil {
		return nil, err
	}
	for n := range 2 {
		_, w, err := s.startAgent(n, entryIP)
		if err != nil {
			return nil, err
		}
		if err := w.boot("a", "r1-1"); err != nil {
			return nil, err
		}
	}
	if err := s.ready(entryIP, 15*time.Second); err != nil {
		return nil, err
	}
	if err := s.served(ctx, entryIP, "a", 15*time.Second); err != nil {
		return nil, err
	}
	time.Sleep(5 * time.Second) // The machines are in touch.
	id := newID()
	var submitted answer
	var caller sync.WaitGroup
	caller.Go(func() {
		// 32 tasks of 3 s, 10 of which fit at once.
		submitted = s.post(ctx, client(), entryIP, id, step{32, 3200, 3 * time.Second, "a"}, 25*time.Second)
	})
	time.Sleep(time.Second)
	acked := time.Time{}
	if trouble {
		a := s.call(ctx, client(), http.MethodDelete, entryIP, prefix+id, nil, time.Second)
		if a.err == nil && (a.status/100 == 2 || a.status == http.StatusGone) {
			acked = time.Now()
		}
	}
	caller.Wait()
	if !trouble {
		if submitted.status != http.StatusOK || !strings.Contains(submitted.body, "completed") {
			return nil, fmt.Errorf("the job without a cancel: %v", submitted)
		}
		return nil, nil
	}
	if acked.IsZero() {
		// Without an ack the bound begins ack_timeout_ms after the cancel; this case looks at acks only.
		s.rec.add("the cancel got no ack")
		return nil, nil
	}
	var broken []string
	for _, one := range s.starts.list() {
		if !strings.HasPrefix(one.task, id) {
			continue
		}
		if late := one.at.Sub(acked); late > cancelMS {
			broken = append(broken, fmt.Sprintf("UNASKED: %v starts %d ms after the ack of the cancel", one, late.Milliseconds()))
		}
		end := one.end
		if end.IsZero() {
			end = time.Now()
		}
		if late := end.Sub(acked); late > cancelMS+stopMS {
			broken = append(broken, fmt.Sprintf("UNASKED: %v, started %d ms after the ack, runs until %d ms after it (%s)", one, one.at.Sub(acked).Milliseconds(), late.Milliseconds(), one.how))
		}
	}
	return broken, nil
}
