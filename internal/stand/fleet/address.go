package fleet

import (
	"fmt"
	"slices"
	"strings"
)

// ip returns a loopback address within the fleet's random address block.
func (f *Fleet) ip(third, fourth int) string {
	return fmt.Sprintf("127.%d.%d.%d", f.addressBlock[0], (f.addressBlock[1]+third)%250, fourth)
}

func (f *Fleet) platformAddress() string { return fmt.Sprintf("%s:%d", f.ip(0, 1), platformPort) }

// EntryIP returns the address that an entry instance listens on and calls from.
func (f *Fleet) EntryIP(name string) string {
	i := strings.LastIndexByte(name, '-')
	d := slices.Index(f.Domains, name[:i])
	var n int
	_, _ = fmt.Sscan(name[i+1:], &n)
	return f.ip(d+1, n)
}

// CallerAddress returns the address on which an entry instance serves callers.
func (f *Fleet) CallerAddress(name string) string {
	return fmt.Sprintf("%s:%d", f.EntryIP(name), callerPort)
}

// PeerAddress returns the address on which an entry instance serves its peers.
func (f *Fleet) PeerAddress(name string) string {
	return fmt.Sprintf("%s:%d", f.EntryIP(name), peerPort)
}

// OperatorAddress returns the address on which an entry instance serves operators.
func (f *Fleet) OperatorAddress(name string) string {
	return fmt.Sprintf("%s:%d", f.EntryIP(name), operatorPort)
}

// PlatformURL returns the base URL of the platform stand-in.
func (f *Fleet) PlatformURL() string { return "http://" + f.platformAddress() }

// ExecutorAddress returns the address of an executor.
func (f *Fleet) ExecutorAddress(name string) string { return f.executorAddresses[name] }

// EntryNames returns the names of the entry instances.
func (f *Fleet) EntryNames() []string {
	var out []string
	for _, d := range f.Domains {
		for i := range f.Entries {
			out = append(out, fmt.Sprintf("%s-%d", d, i+1))
		}
	}
	return out
}
