// Command standin3 plays the cases of the third review: it starts the programs with stand-ins of
// clients, workers and the platform's store, and says whether a rule was broken.
//
//	standin3 CASE PROGRAM FOLDER
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run. With
// TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// caseLimit bounds a case, with its start and end.
const caseLimit = 110 * time.Second

// play is a case. It returns what broke the rule, or nothing.
type play func(ctx context.Context, s *system, trouble bool) (broken []string, err error)

type caseOf struct {
	play    play
	timeout time.Duration // The route's.
}

var cases = map[string]caseOf{}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]].play == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE PROGRAM FOLDER")
		os.Exit(2)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

func run(c caseOf, program, folder string) int {
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println(dir)
	}
	ctx, cancel := context.WithTimeout(context.Background(), caseLimit)
	defer cancel()
	ended, release := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer release()
	s, err := newSystem(program, dir, rec, c.timeout)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer s.stop()
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-done:
		case <-ended.Done():
			// Out of time, or told to end.
			s.stop()
			rec.add("could not run: ended before its end")
			_ = os.RemoveAll(dir)
			os.Exit(2)
		}
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	broken, err := c.play(ctx, s, trouble)
	for _, b := range broken {
		rec.add("BROKEN: %s", b)
		fmt.Println("BROKEN:", b)
	}
	switch {
	case err != nil:
		rec.add("could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case len(broken) > 0:
		return 1
	}
	rec.add("the rule held")
	fmt.Println("the rule held")
	return 0
}
