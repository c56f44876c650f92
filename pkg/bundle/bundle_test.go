package bundle

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

const testKey = "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="

func example(t testing.TB) string {
	t.Helper()
	data, err := os.ReadFile("../../examples/bundle.yaml")
	assert.NilError(t, err)
	return strings.ReplaceAll(string(data), "$ROOT_PUBLIC", testKey)
}

func TestExampleIsValid(t *testing.T) {
	b, problems := Parse([]byte(example(t)))
	assert.Equal(t, len(problems), 0, "%v", problems)
	class, ok := b.Class("order-desk", "")
	assert.Assert(t, ok)
	assert.Equal(t, string(class.Name), "quote-check")
	assert.Equal(t, b.Tenant("month-end").Rate, 1000.0)
	assert.Equal(t, b.Tenant("anybody").Rate, 200.0)
}

// TestEveryProblemIsReportedWithItsLine compares the problems of invalid bundles with golden files.
func TestEveryProblemIsReportedWithItsLine(t *testing.T) {
	for _, name := range []string{"ranges", "unknown-keys", "not-yaml", "names"} {
		t.Run(name, func(t *testing.T) {
			data, err := os.ReadFile("testdata/" + name + ".yaml")
			assert.NilError(t, err)
			_, problems := Parse(data)
			var out strings.Builder
			for _, p := range problems {
				out.WriteString(p.Error() + "\n")
			}
			golden.Assert(t, out.String(), name+".golden")
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add(example(f))
	f.Add("schema: 1\nversion: 1\n")
	f.Fuzz(func(t *testing.T, text string) {
		b, problems := Parse([]byte(text))
		if b == nil && len(problems) == 0 {
			t.Fatal("neither a bundle nor a problem")
		}
	})
}
