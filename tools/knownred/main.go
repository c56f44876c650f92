// Command knownred runs the tests and tolerates only the failures that are listed in KNOWN-RED.txt.
//
// Each entry of the file begins with a line `test: PACKAGE TESTNAME`, followed by the command, the seed, what was
// observed and the open issue. Any other failure, including a package that does not build, fails the run.
//
// # Usage
//
//	go run ./tools/knownred -- -count=1 ./...
package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
)

const (
	knownFailuresFile = "KNOWN-RED.txt"
	entryPrefix       = "test: "
	module            = "github.com/ibischute/ibischute/"
	maxLineBytes      = 16 << 20
)

type event struct {
	Action, Package, Test, Output string
}

type tally struct {
	passed, skipped int
	failed          []string
	output          map[string][]string
	known           map[string]bool
}

func main() {
	known, err := readKnownFailures()
	if err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
		os.Exit(1)
	}
	args := os.Args[1:]
	if len(args) > 0 && args[0] == "--" {
		args = args[1:]
	}
	t := &tally{output: map[string][]string{}, known: known}
	runErr := runTests(args, t)
	os.Exit(t.report(runErr))
}

func readKnownFailures() (map[string]bool, error) {
	data, err := os.ReadFile(knownFailuresFile)
	if err != nil {
		return nil, err
	}
	known := map[string]bool{}
	for _, line := range strings.Split(string(data), "\n") {
		if name, ok := strings.CutPrefix(line, entryPrefix); ok {
			known[strings.TrimSpace(name)] = true
		}
	}
	return known, nil
}

func runTests(args []string, t *tally) error {
	cmd := exec.CommandContext(context.Background(), "go", append([]string{"test", "-json"}, args...)...)
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	t.readEvents(out)
	return cmd.Wait()
}

func (t *tally) readEvents(r io.Reader) {
	scan := bufio.NewScanner(r)
	scan.Buffer(nil, maxLineBytes)
	for scan.Scan() {
		var e event
		if json.Unmarshal(scan.Bytes(), &e) != nil {
			fmt.Println(scan.Text())
			continue
		}
		t.countEvent(e)
	}
}

func (t *tally) countEvent(e event) {
	name := strings.TrimPrefix(e.Package, module)
	key := name + " " + e.Test
	switch e.Action {
	case "output", "build-output":
		t.output[key] = append(t.output[key], e.Output)
	case "pass":
		if e.Test != "" {
			t.passed++
		} else {
			fmt.Println("ok", name)
		}
		delete(t.output, key)
	case "skip":
		if e.Test != "" {
			t.skipped++
		}
	case "fail", "build-fail":
		t.failed = append(t.failed, key)
	}
}

// report prints the failures and the totals, and returns the exit code.
func (t *tally) report(runErr error) int {
	knownCount, unexpectedCount := 0, 0
	for _, key := range t.failed {
		switch {
		case t.isKnown(key):
			knownCount++
			fmt.Println("known red:", key)
			fmt.Print(strings.Join(t.output[key], ""))
		case t.isParentOfKnown(key):
		default:
			unexpectedCount++
			fmt.Println("FAILED:", key)
			fmt.Print(strings.Join(t.output[key], ""))
		}
	}
	if runErr != nil && len(t.failed) == 0 {
		fmt.Println("FAILED:", runErr)
		unexpectedCount++
	}
	fmt.Printf("%d known to fail in %s, %d skipped\n", knownCount, knownFailuresFile, t.skipped)
	fmt.Printf("%d passed, %d failed\n", t.passed, unexpectedCount)
	if unexpectedCount > 0 {
		return 1
	}
	return 0
}

func (t *tally) isKnown(key string) bool { return t.known[key] }

// isParentOfKnown reports whether the key is a package or test that failed only because of known failures below it.
func (t *tally) isParentOfKnown(key string) bool {
	pkg, test, _ := strings.Cut(key, " ")
	hasKnown := false
	for _, other := range t.failed {
		otherPkg, otherTest, _ := strings.Cut(other, " ")
		isDescendant := otherPkg == pkg && otherTest != test && (test == "" || strings.HasPrefix(otherTest, test+"/"))
		if !isDescendant {
			continue
		}
		if !t.isKnown(other) && !t.isParentOfKnown(other) {
			return false
		}
		hasKnown = true
	}
	return hasKnown
}
