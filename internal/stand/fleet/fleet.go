// Package fleet runs a whole system as separate processes on loopback addresses: a platform, executors and entry
// instances, which can be killed, frozen, stopped, restarted and partitioned from each other.
//
// # Usage
//
//	f, err := fleet.Start(ctx, fleet.Config{Ibischute: path, Ibistand: path, Dir: dir, Domains: []string{"catania"}})
//	defer f.Close()
//	f.Kill("catania-1")
package fleet

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/ibischute/ibischute/internal/modules/httpj"
	"github.com/ibischute/ibischute/internal/modules/roster"
	"github.com/ibischute/ibischute/internal/stand/plat"
	"github.com/ibischute/ibischute/internal/stand/proc"
	"github.com/ibischute/ibischute/internal/stand/tcprel"
	"github.com/ibischute/ibischute/internal/web/opersv"
	"github.com/ibischute/ibischute/pkg/bundle"
	"github.com/ibischute/ibischute/pkg/demand"
	"github.com/ibischute/ibischute/pkg/fault"
	"github.com/ibischute/ibischute/pkg/ident"
)

// Config describes the system that a Fleet runs.
type Config struct {
	// Ibischute and Ibistand are the paths of the binaries. Dir is the folder for logs and certificates.
	Ibischute, Ibistand string
	Dir                 string
	Domains             []string
	// Entries, Executors and Workers are the numbers of instances in each domain.
	Entries     int
	Executors   int
	Workers     int
	Services    []string
	ServiceTime time.Duration
	NoAbort     bool
	// WithRelays puts relays in front of the peer ports and the platform, so that network partitions can be simulated.
	WithRelays bool
	ListLag    time.Duration
	// RetainRecords is the number of newest records that a stream of the platform keeps; 0 means the default of ibistand.
	RetainRecords int
	// TLS gives the instances certificates of one authority. Those named in Untrusted get certificates of an untrusted
	// authority and are not started with the others.
	TLS       bool
	Untrusted []string
	// SeedAll passes all entry instances as seeds to each entry instance.
	SeedAll bool
	// EntryArgs are additional flags for the entry instances.
	EntryArgs []string
}

const (
	callerPort      = 7101
	peerPort        = 7102
	operatorPort    = 7103
	relayedPeerPort = 7112
	platformPort    = 7001
	executorPort    = 7201
	readyTimeout    = 30 * time.Second
	pollInterval    = 20 * time.Millisecond
	stopTimeout     = 20 * time.Second
	workerMilliCPU  = 64_000
	workerMemoryMB  = 250_000
	workersPerRack  = 11
	fileMode        = 0o600
)

// Fleet is a running system.
type Fleet struct {
	Config
	addressBlock [2]int
	client       *http.Client
	// RootKey signs as the root operator.
	RootKey ed25519.PrivateKey

	authority, untrustedAuthority *authority

	mu                sync.Mutex
	processes         map[string]*proc.Process
	peerRelays        map[string]*tcprel.Relay
	platformRelays    map[string]*tcprel.Relay
	executorAddresses map[string]string
}

// Start starts the system and returns once every instance responds. No bundle is in force yet.
func Start(ctx context.Context, c Config) (*Fleet, error) {
	// The key is the same in every run, so that the ids of bundles are reproducible. It is used only with stand-ins.
	seed := sha256.Sum256([]byte("ibischute fleet"))
	key := ed25519.NewKeyFromSeed(seed[:])
	f := &Fleet{
		Config: c, addressBlock: [2]int{16 + rand.IntN(200), rand.IntN(250)},
		client:  httpj.NewClient(httpj.Dialer(""), 64),
		RootKey: key, processes: map[string]*proc.Process{}, peerRelays: map[string]*tcprel.Relay{},
		platformRelays: map[string]*tcprel.Relay{}, executorAddresses: map[string]string{},
	}
	if err := f.start(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	if f.TLS {
		var err error
		if f.authority, err = newAuthority(f.Dir, "authority"); err != nil {
			return err
		}
		if f.untrustedAuthority, err = newAuthority(f.Dir, "stranger"); err != nil {
			return err
		}
	}
	args := []string{"platform", "--listen", f.platformAddress(), "--list-lag", f.ListLag.String()}
	if f.RetainRecords > 0 {
		args = append(args, "--retain-records", fmt.Sprint(f.RetainRecords))
	}
	if err := f.spawn("platform", f.Ibistand, args); err != nil {
		return err
	}
	if err := f.awaitOK(ctx, "http://"+f.platformAddress()+"/stand/v1/report"); err != nil {
		return err
	}
	for d, domain := range f.Domains {
		if err := f.startDomain(ctx, d, domain); err != nil {
			return err
		}
	}
	for _, name := range f.EntryNames() {
		if slices.Contains(f.Untrusted, name) {
			continue
		}
		if err := f.awaitOK(ctx, "http://"+f.OperatorAddress(name)+"/healthz"); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) startDomain(ctx context.Context, d int, domain string) error {
	for i := range f.Workers {
		if err := f.register(ctx, roster.Entry{
			Kind: roster.KindWorker, Name: fmt.Sprintf("%s-w-%d", domain, i+1), Domain: ident.Domain(domain),
			Rack:     fmt.Sprintf("%s-r-%d", domain, i/workersPerRack+1),
			Capacity: WorkerCapacity(),
		}); err != nil {
			return err
		}
	}
	for i := range f.Executors {
		if err := f.startExecutor(ctx, d, domain, i); err != nil {
			return err
		}
	}
	for i := range f.Entries {
		name := fmt.Sprintf("%s-%d", domain, i+1)
		if err := f.register(ctx, roster.Entry{
			Kind: roster.KindEntry, Name: name, Domain: ident.Domain(domain), Address: f.PeerAddress(name),
		}); err != nil {
			return err
		}
		if slices.Contains(f.Untrusted, name) {
			continue
		}
		if err := f.StartEntry(name); err != nil {
			return err
		}
	}
	return nil
}

// WorkerCapacity returns the capacity of each worker.
func WorkerCapacity() demand.Vector {
	return demand.Vector{CPU: workerMilliCPU, Memory: workerMemoryMB}
}

func (f *Fleet) startExecutor(ctx context.Context, d int, domain string, i int) error {
	name := fmt.Sprintf("%s-ex-%d", domain, i+1)
	address := fmt.Sprintf("%s:%d", f.ip(d+1, 100+i/50), executorPort+i)
	args := []string{
		"executor", "--listen", address, "--name", name, "--domain", domain,
		"--service", f.Services[i%len(f.Services)], "--service-time", f.ServiceTime.String(),
	}
	if f.NoAbort {
		args = append(args, "--no-abort")
	}
	if err := f.spawn(name, f.Ibistand, args); err != nil {
		return err
	}
	f.executorAddresses[name] = address
	if err := f.awaitOK(ctx, "http://"+address+"/stand/v1/report"); err != nil {
		return err
	}
	return f.register(ctx, roster.Entry{
		Kind: roster.KindExecutor, Name: name, Domain: ident.Domain(domain), Address: address,
		Service: ident.Service(f.Services[i%len(f.Services)]), Slots: 8,
	})
}

func (f *Fleet) register(ctx context.Context, e roster.Entry) error {
	return f.Register(ctx, plat.RegisterRequest{Entry: e, Now: true})
}

// Register adds, changes or removes an instance in the platform's instance list.
func (f *Fleet) Register(ctx context.Context, r plat.RegisterRequest) error {
	return httpj.Call(ctx, f.client, http.MethodPost, f.PlatformURL()+"/stand/v1/instances", r, nil)
}

// StartEntry starts or restarts an entry instance.
func (f *Fleet) StartEntry(name string) error {
	domain := name[:strings.LastIndexByte(name, '-')]
	platform := f.PlatformURL()
	args := []string{
		"serve", "--name", name, "--domain", domain, "--caller-address", f.CallerAddress(name),
		"--peer-address", f.PeerAddress(name), "--operator-address", f.OperatorAddress(name),
		"--root-key", "root=" + f.PublicKey(),
		"--insecure-operator", "--log-level", "debug",
	}
	peers, err := f.peerArgs(name)
	if err != nil {
		return err
	}
	args = append(args, peers...)
	for _, d := range f.Domains {
		args = append(args, "--domains", d)
	}
	if f.WithRelays {
		if platform, err = f.startRelays(name); err != nil {
			return err
		}
		args = append(args, "--peer-listen", fmt.Sprintf("%s:%d", f.EntryIP(name), relayedPeerPort))
	}
	if f.SeedAll {
		for _, n := range f.EntryNames() {
			args = append(args, "--seed", f.PeerAddress(n))
		}
	}
	args = append(args, "--platform", platform)
	return f.spawn(name, f.Ibischute, append(args, f.EntryArgs...))
}

// peerArgs returns the flags for connections between entry instances.
func (f *Fleet) peerArgs(name string) ([]string, error) {
	if !f.TLS {
		return []string{"--insecure-peers"}, nil
	}
	signer := f.authority
	if slices.Contains(f.Untrusted, name) {
		signer = f.untrustedAuthority
	}
	cert, key, err := signer.issue(f.Dir, name, f.EntryIP(name))
	return []string{"--peer-cert", cert, "--peer-key", key, "--peer-ca", f.authority.path}, err
}

// startRelays starts the relays in front of the instance's peer port and of the platform, unless they are running, and
// returns the platform URL that the instance is to use.
func (f *Fleet) startRelays(name string) (string, error) {
	address := fmt.Sprintf("%s:%d", f.EntryIP(name), platformPort)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.peerRelays[name] != nil {
		return "http://" + address, nil
	}
	peer, err := tcprel.Listen(f.PeerAddress(name), fmt.Sprintf("%s:%d", f.EntryIP(name), relayedPeerPort))
	if err != nil {
		return "", err
	}
	f.peerRelays[name] = peer
	platform, err := tcprel.Listen(address, f.platformAddress())
	if err != nil {
		return "", err
	}
	f.platformRelays[name] = platform
	return "http://" + address, nil
}

// CutPeers cuts or restores the connections between two entry instances, in both directions.
func (f *Fleet) CutPeers(a, b string, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peerRelays[a].Cut(f.EntryIP(b), cut)
	f.peerRelays[b].Cut(f.EntryIP(a), cut)
}

// CutPlatform cuts or restores the connections of an entry instance to the platform.
func (f *Fleet) CutPlatform(name string, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.platformRelays[name].CutAll(cut)
}

// SetPlatformFaults sets the injected faults of the platform.
func (f *Fleet) SetPlatformFaults(ctx context.Context, faults plat.Faults) error {
	return httpj.Call(ctx, f.client, http.MethodPost, f.PlatformURL()+"/stand/v1/faults", faults, nil)
}

func (f *Fleet) awaitOK(ctx context.Context, url string) error {
	return Await(ctx, readyTimeout, func() bool {
		return httpj.Call(ctx, f.client, http.MethodGet, url, nil, new(any)) == nil ||
			f.isAnsweringOK(ctx, url)
	})
}

func (f *Fleet) isAnsweringOK(ctx context.Context, url string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	res, err := f.client.Do(req)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode == http.StatusOK
}

// Await polls a condition until it is true, and fails after the timeout.
func Await(ctx context.Context, timeout time.Duration, condition func() bool) error {
	deadline := time.Now().Add(timeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if condition() {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return fault.New(fault.CodeDeadline, fault.Unknown, "condition not met before the timeout or the end of the context")
}

// AwaitReady waits until the entry instances are ready for callers.
func (f *Fleet) AwaitReady(ctx context.Context, names ...string) error {
	for _, name := range names {
		url := "http://" + f.OperatorAddress(name) + "/readyz"
		if err := Await(ctx, readyTimeout, func() bool { return f.isAnsweringOK(ctx, url) }); err != nil {
			return err
		}
	}
	return nil
}

// Status returns the state of an entry instance.
func (f *Fleet) Status(ctx context.Context, name string) (opersv.Status, error) {
	var s opersv.Status
	err := httpj.Call(ctx, f.client, http.MethodGet, "http://"+f.OperatorAddress(name)+"/v1/status", nil, &s)
	return s, err
}

// PublicKey returns the root operator's public key in the encoding that bundles use.
func (f *Fleet) PublicKey() string {
	public, _ := f.RootKey.Public().(ed25519.PublicKey)
	return base64.StdEncoding.EncodeToString(public)
}

// Publish proposes a bundle and signs it off as the root operator. $ROOT_PUBLIC in the text is replaced by the
// operator's public key.
func (f *Fleet) Publish(ctx context.Context, via string, text []byte) error {
	data := bytes.ReplaceAll(text, []byte("$ROOT_PUBLIC"), []byte(f.PublicKey()))
	base := "http://" + f.OperatorAddress(via) + "/v1/bundles"
	var out opersv.ProposeResponse
	if err := httpj.Call(ctx, f.client, http.MethodPost, base, opersv.ProposeRequest{Bundle: data}, &out); err != nil {
		return err
	}
	req := opersv.SignOffRequest{Operator: "root", Signature: bundle.Sign(f.RootKey, out.ID)}
	return httpj.Call(ctx, f.client, http.MethodPost, base+"/"+out.ID+"/sign-offs", req, nil)
}

// Close kills every process that the fleet started and closes its relays.
func (f *Fleet) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.processes {
		_ = p.Signal(syscall.SIGKILL)
	}
	for _, p := range f.processes {
		<-p.Ended()
	}
	for _, r := range f.peerRelays {
		_ = r.Close()
	}
	for _, r := range f.platformRelays {
		_ = r.Close()
	}
}
