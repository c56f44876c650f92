package cell

import (
	"fmt"
	"os"
	"strconv"
	"testing"
)

func TestDebug(t *testing.T) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	if seed == 0 {
		t.Skip()
	}
	debug = os.Getenv("JOB")
	w := schedule(seed)
	for _, b := range w.broken {
		fmt.Println(b)
	}
}
