package params

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/pkg/fault"
)

func validSettings() Settings {
	return Settings{
		Name: "catania-1", Domain: "catania", Domains: []string{"catania", "palermo"}, Caller: "127.0.0.1:1",
		Peer: "127.0.0.1:2", Operator: "127.0.0.1:3", Platform: "http://127.0.0.1:4", LeaseTerm: 2 * time.Second,
		Heartbeat: 500 * time.Millisecond, SnapshotRecords: 500, SnapshotInterval: 10 * time.Minute,
		RootKeys: []string{"anna=AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="}, RootThreshold: 1,
		InsecurePeers: true, InsecureOperator: true, ExecutorConnections: 16,
	}
}

// TestErrorNamesInvalidSetting invalidates one setting at a time and checks that the error names it.
func TestErrorNamesInvalidSetting(t *testing.T) {
	s := validSettings()
	assert.NilError(t, s.Check())
	for setting, invalidate := range map[string]func(*Settings){
		"name":                 func(s *Settings) { s.Name = "Catania 1" },
		"domain":               func(s *Settings) { s.Domain = "messina" },
		"domains":              func(s *Settings) { s.Domains = []string{"catania", "PALERMO"} },
		"caller-address":       func(s *Settings) { s.Caller = "localhost" },
		"peer-address":         func(s *Settings) { s.Peer = "" },
		"peer-listen":          func(s *Settings) { s.PeerListen = "7102" },
		"operator-address":     func(s *Settings) { s.Operator = "127.0.0.1" },
		"platform":             func(s *Settings) { s.Platform = "127.0.0.1:4" },
		"seed":                 func(s *Settings) { s.Seeds = []string{"catania-2"} },
		"lease-term":           func(s *Settings) { s.LeaseTerm = time.Hour },
		"heartbeat":            func(s *Settings) { s.Heartbeat = time.Second },
		"snapshot-records":     func(s *Settings) { s.SnapshotRecords = 0 },
		"snapshot-interval":    func(s *Settings) { s.SnapshotInterval = 0 },
		"drain-time":           func(s *Settings) { s.DrainTime = -1 },
		"root-key":             func(s *Settings) { s.RootKeys = []string{"anna"} },
		"root-threshold":       func(s *Settings) { s.RootThreshold = 2 },
		"insecure-operator":    func(s *Settings) { s.Operator = "10.0.0.1:3" },
		"insecure-peers":       func(s *Settings) { s.Peer = "10.0.0.1:2" },
		"peer-cert":            func(s *Settings) { s.InsecurePeers = false },
		"operator-token-file":  func(s *Settings) { s.InsecureOperator = false },
		"executor-connections": func(s *Settings) { s.ExecutorConnections = 65 },
	} {
		t.Run(setting, func(t *testing.T) {
			s := validSettings()
			invalidate(&s)
			err := s.Check()
			assert.Assert(t, fault.IsErrCode(err, fault.CodeSetting))
			assert.ErrorContains(t, err, "--"+setting)
		})
	}
}

func TestSecretFileMustBePrivate(t *testing.T) {
	path := filepath.Join(t.TempDir(), "token")
	assert.NilError(t, os.WriteFile(path, []byte("0123456789abcdef\n"), 0o600))
	secret, err := ReadSecret("operator-token-file", path)
	assert.NilError(t, err)
	assert.Equal(t, secret, "0123456789abcdef")
	assert.NilError(t, os.Chmod(path, 0o644))
	_, err = ReadSecret("operator-token-file", path)
	assert.ErrorContains(t, err, "--operator-token-file")
}
