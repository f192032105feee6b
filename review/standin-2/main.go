package main

import "os"

// cases has each case by its name.
var cases = map[string]func(*rig){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fail("usage: standin-2 CASE RECORD")
	}
	cases[os.Args[1]](newRig(os.Args[2]))
}
