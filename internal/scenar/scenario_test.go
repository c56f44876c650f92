// Package scenar tests whole systems of separate processes under faults.
//
// Each file in testdata is a testscript; commands_test.go lists the commands that are added to those of testscript.
package scenar

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

var binDir string

func TestMain(m *testing.M) { os.Exit(runMain(m)) }

func runMain(m *testing.M) int {
	dir, err := os.MkdirTemp("", "ibischute-bin-")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	build := exec.Command("go", "build", "-o", dir+"/", "../../cmd/...")
	build.Stdout, build.Stderr = os.Stdout, os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	binDir = dir
	return m.Run()
}

// TestCommandsDoNotShadowBuiltIns guards against commands with the name of a testscript built-in. testscript would run
// the built-in instead, and a scenario could end early or pass without testing anything.
func TestCommandsDoNotShadowBuiltIns(t *testing.T) {
	builtIn := strings.Fields("cd chmod cmp cmpenv cp env exec exists grep kill mkdir mv rm skip stderr stdin stdout " +
		"ttyin ttyout stop symlink unix2dos unquote wait")
	for _, name := range builtIn {
		if commands()[name] != nil {
			t.Errorf("%s is a built-in command of testscript", name)
		}
	}
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		UpdateScripts:       os.Getenv("UPDATE_GOLDEN") != "",
		RequireUniqueNames:  true,
		ContinueOnError:     false,
		RequireExplicitExec: true,
		Cmds:                commands(),
		Setup: func(env *testscript.Env) error {
			if err := os.WriteFile(filepath.Join(env.WorkDir, "usual.yaml"), []byte(defaultBundle), 0o600); err != nil {
				return err
			}
			ctx, cancel := context.WithCancel(context.Background())
			s := &scenario{
				ctx: ctx, dir: env.WorkDir, pendingCalls: map[string]chan string{}, unavailable: map[string]bool{},
			}
			env.Values[scenarioKey{}] = s
			env.Setenv("PATH", binDir+string(filepath.ListSeparator)+env.Getenv("PATH"))
			env.Defer(func() {
				cancel()
				s.close(t)
			})
			return nil
		},
	})
}

// defaultBundle is the bundle of scenarios that do not test configuration.
const defaultBundle = `
schema: 1
version: 1
parent: 0
operators: {threshold: 1, keys: [{name: root, public-key: $ROOT_PUBLIC}]}
services:
  - name: invoicing
    default-class: invoice
    classes:
      - {name: invoice, default-deadline: 20s, max-queue: 400}
      - {name: quote-check, priority: 1, idempotent: true}
tenants:
  default: {rate: 100000}
batch: {worker-lease: 2s}
`
