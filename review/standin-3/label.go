package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"
)

func init() { cases["label"] = caseOf{playLabel, 1500 * time.Millisecond} }

const (
	labelRounds  = 15
	labelClients = 20
	// labelLeast is the number of starts below which a play shows nothing.
	labelLeast = 1000
	// labelFreeze is how long the entry stands still, and labelDown how long its worker is down
	// meanwhile.
	labelFreeze = 250 * time.Millisecond
	labelDown   = 100 * time.Millisecond
	labelCalm   = 500 * time.Millisecond
)

// playLabel freezes the entry for a moment, again and again. One of two workers crashes meanwhile
// and starts again as one of another kind. All jobs need the first kind. With TROUBLE=crash the
// worker crashes and the entry goes on.
func playLabel(ctx context.Context, s *system, trouble bool) ([]string, error) {
	entry, err := s.startEntry(entryIP)
	if err != nil {
		return nil, err
	}
	workers := []*worker{}
	for n := range 2 {
		_, w, err := s.startAgent(n, entryIP)
		if err != nil {
			return nil, err
		}
		if err := w.boot("a", "r1-1"); err != nil {
			return nil, err
		}
		workers = append(workers, w)
	}
	if err := s.ready(entryIP, 15*time.Second); err != nil {
		return nil, err
	}
	if err := s.served(ctx, entryIP, "a", 15*time.Second); err != nil {
		return nil, err
	}
	var clients sync.WaitGroup
	end := make(chan struct{})
	for range labelClients {
		clients.Go(func() {
			c := client()
			for {
				select {
				case <-end:
					return
				case <-time.After(rand.N(50 * time.Millisecond)):
				}
				s.post(ctx, c, entryIP, newID(), step{4, 400, 60 * time.Millisecond, "a"}, 1500*time.Millisecond)
			}
		})
	}
	freeze := trouble && os.Getenv("TROUBLE") != "crash"
	w := workers[0]
	for range labelRounds {
		time.Sleep(labelCalm + rand.N(50*time.Millisecond))
		if !trouble {
			time.Sleep(labelFreeze + 2*labelCalm)
			continue
		}
		if freeze {
			s.signal(entry, "entry", syscall.SIGSTOP)
		}
		w.crash()
		time.Sleep(labelDown)
		if err := w.boot("b", "r1-1"); err != nil {
			return nil, err
		}
		time.Sleep(labelFreeze - labelDown)
		if freeze {
			s.signal(entry, "entry", syscall.SIGCONT)
		}
		time.Sleep(labelCalm)
		w.crash()
		time.Sleep(labelCalm)
		if err := w.boot("a", "r1-1"); err != nil {
			return nil, err
		}
	}
	close(end)
	clients.Wait()
	broken := []string{}
	for _, one := range s.starts.list() {
		if sp, ok := s.jobs.of(one.task); ok && sp.label != "" && !slices.Contains(one.labels, sp.label) {
			broken = append(broken, fmt.Sprintf("ROUTE: %v, which needs label %s, at %d ms", one, sp.label, one.at.Sub(s.rec.begin).Milliseconds()))
		}
	}
	s.rec.add("%d starts", len(s.starts.list()))
	if len(s.starts.list()) < labelLeast {
		return nil, errors.New("too few tasks were started")
	}
	return broken, nil
}
