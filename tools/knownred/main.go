// Command knownred runs the tests and passes over just the failures that KNOWN-RED.txt names.
//
// Each entry of the file begins with a line `test: PACKAGE TESTNAME`; the lines after it give the command, the seed,
// what was seen and the open issue. A failure that is not named fails the run, and so does a package that does not
// build.
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
	listFile    = "KNOWN-RED.txt"
	entryPrefix = "test: "
	module      = "github.com/ibischute/ibischute/"
	maxLine     = 16 << 20
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
	known, err := readList()
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
	os.Exit(t.conclude(runErr))
}

func readList() (map[string]bool, error) {
	data, err := os.ReadFile(listFile)
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
	t.read(out)
	return cmd.Wait()
}

func (t *tally) read(r io.Reader) {
	scan := bufio.NewScanner(r)
	scan.Buffer(nil, maxLine)
	for scan.Scan() {
		var e event
		if json.Unmarshal(scan.Bytes(), &e) != nil {
			fmt.Println(scan.Text())
			continue
		}
		t.count(e)
	}
}

func (t *tally) count(e event) {
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

// conclude prints the failures and returns the exit code.
func (t *tally) conclude(runErr error) int {
	red, unknown := 0, 0
	for _, key := range t.failed {
		switch {
		case t.isKnown(key):
			red++
			fmt.Println("known red:", key)
			fmt.Print(strings.Join(t.output[key], ""))
		case t.isParentOfKnown(key):
		default:
			unknown++
			fmt.Println("FAILED:", key)
			fmt.Print(strings.Join(t.output[key], ""))
		}
	}
	if runErr != nil && len(t.failed) == 0 {
		fmt.Println("FAILED:", runErr)
		unknown++
	}
	fmt.Printf("%d known to fail in %s, %d skipped\n", red, listFile, t.skipped)
	fmt.Printf("%d passed, %d failed\n", t.passed, unknown)
	if unknown > 0 {
		return 1
	}
	return 0
}

func (t *tally) isKnown(key string) bool { return t.known[key] }

// isParentOfKnown reports whether the failure is that of a package or test whose failed subtests are all known.
func (t *tally) isParentOfKnown(key string) bool {
	pkg, test, _ := strings.Cut(key, " ")
	hasKnown := false
	for _, other := range t.failed {
		otherPkg, otherTest, _ := strings.Cut(other, " ")
		isBelow := otherPkg == pkg && otherTest != test && (test == "" || strings.HasPrefix(otherTest, test+"/"))
		if !isBelow {
			continue
		}
		if !t.isKnown(other) && !t.isParentOfKnown(other) {
			return false
		}
		hasKnown = true
	}
	return hasKnown
}
