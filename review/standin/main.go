// Command standin plays one case of this review: a small deployment of the project's own
// programs among stand-ins for clients, workers and the platform.
//
//	PROGRAM=target/camphorcroft standin CASE RECORD
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could
// not run. With TROUBLE=0 it plays the case without its disruption.
package main

import (
	"fmt"
	"os"
)

// cases are the cases by name. Each reports whether the rule was broken.
var cases = map[string]func(rec *record, trouble bool) (bool, error){
	"signal-while-stopping": signalWhileStopping,
	"foreign-ping":          foreignPing,
	"late-start-reborn":     lateStartReborn,
	"stop-unanswered":       stopUnanswered,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(2)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	broken, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	code := 0
	switch {
	case err != nil:
		rec.add("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		code = 2
	case broken:
		rec.add("the rule was broken")
		fmt.Println("broken")
		code = 1
	default:
		rec.add("the rule held")
		fmt.Println("held")
	}
	rec.close()
	os.Exit(code)
}
