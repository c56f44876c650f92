package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// The exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenario prepares the world, plays the events and checks what the rules say at the end.
type scenario func(w *world, trouble bool) error

var scenarios = map[string]scenario{}

func main() {
	if len(os.Args) != 3 {
		fmt.Println("usage: stand-3 SCENARIO FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, dir string) int {
	play, ok := scenarios[name]
	if !ok {
		fmt.Println("no scenario", name)
		return exitNotRun
	}
	dir, _ = filepath.Abs(dir)
	w, err := newWorld(dir)
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	w.note("scenario %s, disruption %t", name, trouble)
	time.AfterFunc(115*time.Second, func() {
		w.note("out of time")
		w.close()
		os.Exit(exitNotRun)
	})
	err = play(w, trouble)
	w.close()
	if err != nil {
		w.note("could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitNotRun
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Printf("%d starts, %d rules broken\n", w.counts["starts"], len(w.broken))
	for i, b := range w.broken {
		if i < 5 {
			fmt.Println(b)
		}
	}
	if len(w.broken) > 0 {
		return exitBroken
	}
	return exitHeld
}
