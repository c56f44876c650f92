// Package params holds the settings of an entry instance, from flags and environment variables, and checks them.
//
// # Usage
//
//	var s params.Settings
//	// filled by go-flags
//	if err := s.Check(); err != nil { ... }
package params

import (
	"crypto/ed25519"
	"encoding/base64"
	"net"
	"net/netip"
	"net/url"
	"os"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/ibischute/ibischute/internal/modules/mtls"
	"github.com/ibischute/ibischute/pkg/bundle"
	"github.com/ibischute/ibischute/pkg/fault"
	"github.com/ibischute/ibischute/pkg/ident"
)

// Settings are the settings of `ibischute serve`.
type Settings struct {
	Name          string   `long:"name" env:"IBISCHUTE_NAME" description:"name of this instance, unique in its failure domain" required:"true"`
	Domain        string   `long:"domain" env:"IBISCHUTE_DOMAIN" description:"failure domain of this instance" required:"true"`
	Domains       []string `long:"domains" env:"IBISCHUTE_DOMAINS" env-delim:"," description:"all failure domains, the same list everywhere" required:"true"`
	Caller        string   `long:"caller-address" env:"IBISCHUTE_CALLER_ADDRESS" description:"ip:port for callers" required:"true"`
	Peer          string   `long:"peer-address" env:"IBISCHUTE_PEER_ADDRESS" description:"ip:port for other instances" required:"true"`
	PeerBind      string   `long:"peer-listen" env:"IBISCHUTE_PEER_LISTEN" description:"ip:port to listen on for other instances, if it is not the peer address"`
	PeerCert      string   `long:"peer-cert" env:"IBISCHUTE_PEER_CERT" description:"file with this instance's certificate for its peer address"`
	PeerKey       string   `long:"peer-key" env:"IBISCHUTE_PEER_KEY" description:"file with the key of --peer-cert, readable by its owner only"`
	PeerCA        string   `long:"peer-ca" env:"IBISCHUTE_PEER_CA" description:"file with the certificates of the authority of all instances"`
	InsecurePeers bool     `long:"insecure-peers" env:"IBISCHUTE_INSECURE_PEERS" description:"speak to other instances without TLS; for loopback only"`
	Operator      string   `long:"operator-address" env:"IBISCHUTE_OPERATOR_ADDRESS" description:"ip:port for operators, health and metrics" required:"true"`
	Platform      string   `long:"platform" env:"IBISCHUTE_PLATFORM" description:"base URL of the platform" required:"true"`
	Seeds         []string `long:"seed" env:"IBISCHUTE_SEEDS" env-delim:"," description:"ip:port of other instances' peer ports, used when the platform is down"`

	LeaseTerm time.Duration `long:"lease-term" env:"IBISCHUTE_LEASE_TERM" description:"term of the domain lease, the same on every instance" default:"2s"`
	Heartbeat time.Duration `long:"heartbeat" env:"IBISCHUTE_HEARTBEAT" description:"interval of heartbeats in the domain, at most a quarter of the lease term" default:"500ms"`
	DrainTime time.Duration `long:"drain-time" env:"IBISCHUTE_DRAIN_TIME" description:"longest wait for requests in flight at a stop" default:"60s"`

	SnapshotRecords  int           `long:"snapshot-records" env:"IBISCHUTE_SNAPSHOT_RECORDS" description:"records of a stream after which its state is appended again; well below what the log keeps" default:"500"`
	SnapshotInterval time.Duration `long:"snapshot-interval" env:"IBISCHUTE_SNAPSHOT_INTERVAL" description:"time after which the state of a changed stream is appended again; well below the log's retention" default:"10m"`

	RootKeys      []string `long:"root-key" env:"IBISCHUTE_ROOT_KEYS" env-delim:"," description:"name=base64 public key of an operator who signs off the first version" required:"true"`
	RootThreshold int      `long:"root-threshold" env:"IBISCHUTE_ROOT_THRESHOLD" description:"sign-offs that the first version needs" default:"1"`

	TokenFile        string `long:"operator-token-file" env:"IBISCHUTE_OPERATOR_TOKEN_FILE" description:"file with the token that operators' calls carry"`
	InsecureOperator bool   `long:"insecure-operator" env:"IBISCHUTE_INSECURE_OPERATOR" description:"let operators' calls through without a token; for loopback only"`

	ExecutorConnections int    `long:"executor-connections" env:"IBISCHUTE_EXECUTOR_CONNECTIONS" description:"most connections for work to one executor; its slots need one each" default:"12"`
	LogLevel            string `long:"log-level" env:"IBISCHUTE_LOG_LEVEL" description:"debug, info, warn or error" default:"info"`
}

var nameForm = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,62}[a-z0-9])?$`)

// The bounds of the settings.
const (
	minLease        = 200 * time.Millisecond
	maxLease        = 60 * time.Second
	minHeartbeat    = 20 * time.Millisecond
	maxDrain        = time.Hour
	minSnapshot     = time.Second
	maxSnapshot     = 24 * time.Hour
	maxConnections  = 64
	minTokenLength  = 16
	othersMayRead   = 0o077
	beatsPerLease   = 4
	maxRootKeyCount = 64
)

func bad(setting, detail string) error {
	return fault.New(fault.CodeSetting, fault.NotRun, "setting --"+setting+": "+detail)
}

// Check returns an error that names the first wrong setting.
func (s *Settings) Check() error {
	for _, check := range []func() error{s.checkNames, s.checkAddresses, s.checkTimes, s.checkAuthority} {
		if err := check(); err != nil {
			return err
		}
	}
	if s.ExecutorConnections < 1 || s.ExecutorConnections > maxConnections {
		return bad("executor-connections", "must be 1 to 64")
	}
	return nil
}

func (s *Settings) checkNames() error {
	if !nameForm.MatchString(s.Name) {
		return bad("name", "must be 1 to 64 of a-z, 0-9 and '-'")
	}
	for _, d := range s.Domains {
		if !nameForm.MatchString(d) {
			return bad("domains", "\""+d+"\" must be 1 to 64 of a-z, 0-9 and '-'")
		}
	}
	if !slices.Contains(s.Domains, s.Domain) {
		return bad("domain", "\""+s.Domain+"\" is not one of --domains")
	}
	return nil
}

func (s *Settings) checkAddresses() error {
	listens := []struct{ setting, value string }{
		{"caller-address", s.Caller}, {"peer-address", s.Peer}, {"operator-address", s.Operator},
	}
	if s.PeerBind == "" {
		s.PeerBind = s.Peer
	}
	listens = append(listens, struct{ setting, value string }{"peer-listen", s.PeerBind})
	for _, a := range listens {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			return bad(a.setting, "\""+a.value+"\" is not an ip:port")
		}
	}
	for _, seed := range s.Seeds {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			return bad("seed", "\""+seed+"\" is not an ip:port")
		}
	}
	u, err := url.Parse(s.Platform)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return bad("platform", "\""+s.Platform+"\" is not a http or https URL")
	}
	return nil
}

func (s *Settings) checkTimes() error {
	switch {
	case s.LeaseTerm < minLease || s.LeaseTerm > maxLease:
		return bad("lease-term", "must be 200ms to 60s")
	case s.Heartbeat < minHeartbeat || s.Heartbeat > s.LeaseTerm/beatsPerLease:
		return bad("heartbeat", "must be 20ms to a quarter of --lease-term")
	case s.SnapshotRecords < 2:
		return bad("snapshot-records", "must be at least 2")
	case s.SnapshotInterval < minSnapshot || s.SnapshotInterval > maxSnapshot:
		return bad("snapshot-interval", "must be 1s to 24h")
	case s.DrainTime < 0 || s.DrainTime > maxDrain:
		return bad("drain-time", "must be 0 to 1h")
	}
	return nil
}

func (s *Settings) checkAuthority() error {
	if _, err := s.Root(); err != nil {
		return err
	}
	if _, err := s.PeerKeys(); err != nil {
		return err
	}
	if s.InsecureOperator {
		if ap, _ := netip.ParseAddrPort(s.Operator); !ap.Addr().IsLoopback() {
			return bad("insecure-operator", "needs a loopback --operator-address")
		}
		return nil
	}
	_, err := s.Token()
	return err
}

// Root returns who signs off the first version.
func (s *Settings) Root() (bundle.Authority, error) {
	t := bundle.Authority{Threshold: s.RootThreshold, Operators: map[string]ed25519.PublicKey{}}
	for _, entry := range s.RootKeys {
		name, encoded, ok := strings.Cut(entry, "=")
		key, err := base64.StdEncoding.DecodeString(encoded)
		if !ok || err != nil || len(key) != ed25519.PublicKeySize || !nameForm.MatchString(name) {
			return t, bad("root-key", "\""+entry+"\" is not name=base64 of an ed25519 public key")
		}
		t.Operators[name] = key
	}
	if len(t.Operators) > maxRootKeyCount {
		return t, bad("root-key", "more than 64 keys")
	}
	if s.RootThreshold < 1 || s.RootThreshold > len(t.Operators) {
		return t, bad("root-threshold", "must be 1 to the number of root keys")
	}
	return t, nil
}

// PeerKeys returns the keys for connections to other instances, or nil if they are open.
func (s *Settings) PeerKeys() (*mtls.Keys, error) {
	if s.InsecurePeers {
		if ap, _ := netip.ParseAddrPort(s.Peer); !ap.Addr().IsLoopback() {
			return nil, bad("insecure-peers", "needs a loopback --peer-address")
		}
		return nil, nil
	}
	if s.PeerCert == "" || s.PeerKey == "" || s.PeerCA == "" {
		return nil, bad("peer-cert", "--peer-cert, --peer-key and --peer-ca are needed, or --insecure-peers")
	}
	return mtls.Load(mtls.Files{Cert: s.PeerCert, Key: s.PeerKey, Authority: s.PeerCA})
}

// Token reads the operators' token; empty if none is needed.
func (s *Settings) Token() (string, error) {
	if s.InsecureOperator {
		return "", nil
	}
	return ReadSecret("operator-token-file", s.TokenFile)
}

// ReadSecret reads a secret from a file that only its owner may read.
func ReadSecret(setting, path string) (string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return "", fault.Wrap(err, fault.CodeSetting, fault.NotRun, "setting --"+setting)
	}
	if info.Mode().Perm()&othersMayRead != 0 {
		return "", bad(setting, "the file may be read by others than its owner")
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return "", fault.Wrap(err, fault.CodeSetting, fault.NotRun, "setting --"+setting)
	}
	secret := strings.TrimSpace(string(data))
	if len(secret) < minTokenLength {
		return "", bad(setting, "the secret has fewer than 16 characters")
	}
	return secret, nil
}

// LocalIP returns the address that outgoing connections are bound to.
func (s *Settings) LocalIP() string {
	host, _, _ := net.SplitHostPort(s.Peer)
	return host
}

// DomainIDs returns the failure domains in order.
func (s *Settings) DomainIDs() []ident.Domain {
	out := make([]ident.Domain, 0, len(s.Domains))
	for _, d := range s.Domains {
		out = append(out, ident.Domain(d))
	}
	slices.Sort(out)
	return slices.Compact(out)
}
