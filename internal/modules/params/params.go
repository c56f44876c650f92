// Package params defines and validates the settings of an entry instance, read from flags and environment variables.
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
	PeerListen    string   `long:"peer-listen" env:"IBISCHUTE_PEER_LISTEN" description:"ip:port to listen on for other instances, if it is not the peer address"`
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

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,62}[a-z0-9])?$`)

// The limits of the settings.
const (
	minLeaseTerm              = 200 * time.Millisecond
	maxLeaseTerm              = 60 * time.Second
	minHeartbeat              = 20 * time.Millisecond
	maxDrainTime              = time.Hour
	minSnapshotInterval       = time.Second
	maxSnapshotInterval       = 24 * time.Hour
	maxExecutorConnections    = 64
	minSecretLength           = 16
	groupOtherPerms           = 0o077
	minHeartbeatsPerLeaseTerm = 4
	maxRootKeys               = 64
)

func settingError(setting, detail string) error {
	return fault.New(fault.CodeSetting, fault.NotRun, "setting --"+setting+": "+detail)
}

// Check returns an error that names the first invalid setting. It sets PeerListen to Peer if it is empty.
func (s *Settings) Check() error {
	for _, check := range []func() error{s.checkNames, s.checkAddresses, s.checkDurations, s.checkCredentials} {
		if err := check(); err != nil {
			return err
		}
	}
	if s.ExecutorConnections < 1 || s.ExecutorConnections > maxExecutorConnections {
		return settingError("executor-connections", "must be 1 to 64")
	}
	return nil
}

func (s *Settings) checkNames() error {
	if !namePattern.MatchString(s.Name) {
		return settingError("name", "must be 1 to 64 characters of a-z, 0-9 and '-', with no '-' at either end")
	}
	for _, d := range s.Domains {
		if !namePattern.MatchString(d) {
			return settingError("domains", "\""+d+"\" must be 1 to 64 characters of a-z, 0-9 and '-', with no '-' at either end")
		}
	}
	if !slices.Contains(s.Domains, s.Domain) {
		return settingError("domain", "\""+s.Domain+"\" is not one of --domains")
	}
	return nil
}

func (s *Settings) checkAddresses() error {
	listenAddresses := []struct{ setting, value string }{
		{"caller-address", s.Caller}, {"peer-address", s.Peer}, {"operator-address", s.Operator},
	}
	if s.PeerListen == "" {
		s.PeerListen = s.Peer
	}
	listenAddresses = append(listenAddresses, struct{ setting, value string }{"peer-listen", s.PeerListen})
	for _, a := range listenAddresses {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			return settingError(a.setting, "\""+a.value+"\" is not an ip:port")
		}
	}
	for _, seed := range s.Seeds {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			return settingError("seed", "\""+seed+"\" is not an ip:port")
		}
	}
	u, err := url.Parse(s.Platform)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return settingError("platform", "\""+s.Platform+"\" is not an http or https URL")
	}
	return nil
}

func (s *Settings) checkDurations() error {
	switch {
	case s.LeaseTerm < minLeaseTerm || s.LeaseTerm > maxLeaseTerm:
		return settingError("lease-term", "must be 200ms to 60s")
	case s.Heartbeat < minHeartbeat || s.Heartbeat > s.LeaseTerm/minHeartbeatsPerLeaseTerm:
		return settingError("heartbeat", "must be 20ms to a quarter of --lease-term")
	case s.SnapshotRecords < 2:
		return settingError("snapshot-records", "must be at least 2")
	case s.SnapshotInterval < minSnapshotInterval || s.SnapshotInterval > maxSnapshotInterval:
		return settingError("snapshot-interval", "must be 1s to 24h")
	case s.DrainTime < 0 || s.DrainTime > maxDrainTime:
		return settingError("drain-time", "must be 0 to 1h")
	}
	return nil
}

func (s *Settings) checkCredentials() error {
	if _, err := s.RootAuthority(); err != nil {
		return err
	}
	if _, err := s.PeerCredentials(); err != nil {
		return err
	}
	if s.InsecureOperator {
		if ap, _ := netip.ParseAddrPort(s.Operator); !ap.Addr().IsLoopback() {
			return settingError("insecure-operator", "needs a loopback --operator-address")
		}
		return nil
	}
	_, err := s.Token()
	return err
}

// RootAuthority returns the operators and the threshold for the sign-off of the first version.
func (s *Settings) RootAuthority() (bundle.Authority, error) {
	authority := bundle.Authority{Threshold: s.RootThreshold, Operators: map[string]ed25519.PublicKey{}}
	for _, entry := range s.RootKeys {
		name, encoded, ok := strings.Cut(entry, "=")
		key, err := base64.StdEncoding.DecodeString(encoded)
		if !ok || err != nil || len(key) != ed25519.PublicKeySize || !namePattern.MatchString(name) {
			return authority, settingError("root-key", "\""+entry+"\" is not name=base64 of an ed25519 public key")
		}
		authority.Operators[name] = key
	}
	if len(authority.Operators) > maxRootKeys {
		return authority, settingError("root-key", "more than 64 keys")
	}
	if s.RootThreshold < 1 || s.RootThreshold > len(authority.Operators) {
		return authority, settingError("root-threshold", "must be 1 to the number of root keys")
	}
	return authority, nil
}

// PeerCredentials returns the TLS credentials for connections to other instances, or nil if these do not use TLS.
func (s *Settings) PeerCredentials() (*mtls.Credentials, error) {
	if s.InsecurePeers {
		if ap, _ := netip.ParseAddrPort(s.Peer); !ap.Addr().IsLoopback() {
			return nil, settingError("insecure-peers", "needs a loopback --peer-address")
		}
		return nil, nil
	}
	if s.PeerCert == "" || s.PeerKey == "" || s.PeerCA == "" {
		return nil, settingError("peer-cert", "--peer-cert, --peer-key and --peer-ca are needed, or --insecure-peers")
	}
	return mtls.Load(mtls.Files{Cert: s.PeerCert, Key: s.PeerKey, CA: s.PeerCA})
}

// Token reads the operator token. It is empty if operators need none.
func (s *Settings) Token() (string, error) {
	if s.InsecureOperator {
		return "", nil
	}
	return ReadSecret("operator-token-file", s.TokenFile)
}

// ReadSecret reads a secret from a file. It fails if the file is accessible to others than its owner or the
// secret is shorter than minSecretLength.
func ReadSecret(setting, path string) (string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return "", fault.Wrap(err, fault.CodeSetting, fault.NotRun, "setting --"+setting)
	}
	if info.Mode().Perm()&groupOtherPerms != 0 {
		return "", settingError(setting, "the file is accessible to group or others")
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return "", fault.Wrap(err, fault.CodeSetting, fault.NotRun, "setting --"+setting)
	}
	secret := strings.TrimSpace(string(data))
	if len(secret) < minSecretLength {
		return "", settingError(setting, "the secret has fewer than 16 characters")
	}
	return secret, nil
}

// LocalIP returns the IP address that outgoing connections are bound to.
func (s *Settings) LocalIP() string {
	host, _, _ := net.SplitHostPort(s.Peer)
	return host
}

// DomainIDs returns the failure domains, sorted and without duplicates.
func (s *Settings) DomainIDs() []ident.Domain {
	out := make([]ident.Domain, 0, len(s.Domains))
	for _, d := range s.Domains {
		out = append(out, ident.Domain(d))
	}
	slices.Sort(out)
	return slices.Compact(out)
}
