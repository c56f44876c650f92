// Command rig plays one case of the review: it starts the program in several processes, with stand-ins for the store, the
// executors and the clients in its own process, and exits with 1 if the rule of the case was broken, 0 if it held and 2
// if the case could not run.
//
//	target/review/rig CASE FOLDER
//
// It runs in the root of the repository. With TROUBLE=0 it leaves out the disruption.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"
)

// caseLimit ends a case that hangs.
const caseLimit = 115 * time.Second

// caseOf is the rule of a case and the function that plays it.
type caseOf struct {
	rule string
	play func(w *World)
}

// cases has the cases by their names. The file of each case adds it.
var cases = map[string]caseOf{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]].play == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func play(name, dir string, trouble bool) (code int) {
	var w *World
	defer func() {
		if r := recover(); r != nil {
			var cannot errCannotRun
			if err, ok := r.(error); !ok || !errors.As(err, &cannot) {
				panic(r)
			}
			fmt.Fprintln(os.Stderr, "the case could not run:", r)
			code = 2
		}
		if w != nil {
			w.close()
		}
	}()
	time.AfterFunc(caseLimit, func() {
		fmt.Fprintln(os.Stderr, "the case takes too long")
		if w != nil {
			w.close()
		}
		os.Exit(2)
	})
	w = newWorld(dir, trouble)
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupts
		w.close()
		os.Exit(2)
	}()
	c := cases[name]
	c.play(w)
	w.check()
	n := 0
	for _, b := range w.broken {
		if strings.HasPrefix(b, c.rule) {
			n++
		}
	}
	w.note("%s broken %d times; other findings: %d", c.rule, n, len(w.broken)-n)
	fmt.Printf("%s: %s broken %d times, other findings %d (trouble %v)\n", name, c.rule, n, len(w.broken)-n, trouble)
	if n > 0 {
		return 1
	}
	return 0
}
