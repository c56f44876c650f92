package bundle

import (
	"bytes"
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"go.yaml.in/yaml/v3"

	"github.com/ibischute/ibischute/pkg/ident"
)

// Problem is a validation error in a bundle.
type Problem struct {
	Line   int
	Field  string
	Detail string
}

// Error implements error.
func (p Problem) Error() string {
	return "line " + strconv.Itoa(p.Line) + ": " + p.Field + ": " + p.Detail
}

// scalar is a YAML scalar with its line number.
type scalar[T any] struct {
	v     T
	line  int
	isSet bool
}

// UnmarshalYAML implements yaml.Unmarshaler.
func (f *scalar[T]) UnmarshalYAML(n *yaml.Node) error {
	f.line, f.isSet = n.Line, true
	return n.Decode(&f.v)
}

func (f *scalar[T]) orDefault(d T) T {
	if f.isSet {
		return f.v
	}
	return d
}

type rawBundle struct {
	Schema    scalar[int]    `yaml:"schema"`
	Version   scalar[uint64] `yaml:"version"`
	Parent    scalar[uint64] `yaml:"parent"`
	Operators struct {
		Threshold scalar[int]   `yaml:"threshold"`
		Keys      []rawOperator `yaml:"keys"`
	} `yaml:"operators"`
	Services []rawService `yaml:"services"`
	Tenants  struct {
		Default rawTenant   `yaml:"default"`
		Named   []rawTenant `yaml:"named"`
	} `yaml:"tenants"`
	Requests struct {
		RetryPercent scalar[float64]       `yaml:"retry-percent"`
		KeyRetention scalar[time.Duration] `yaml:"key-retention"`
	} `yaml:"requests"`
	Batch rawBatch `yaml:"batch"`
}

type rawOperator struct {
	Name      scalar[string] `yaml:"name"`
	PublicKey scalar[string] `yaml:"public-key"`
}

type rawService struct {
	Name         scalar[string] `yaml:"name"`
	DefaultClass scalar[string] `yaml:"default-class"`
	Classes      []rawClass     `yaml:"classes"`
}

type rawClass struct {
	Name            scalar[string]        `yaml:"name"`
	Priority        scalar[int]           `yaml:"priority"`
	DefaultDeadline scalar[time.Duration] `yaml:"default-deadline"`
	MaxDeadline     scalar[time.Duration] `yaml:"max-deadline"`
	MaxQueue        scalar[int]           `yaml:"max-queue"`
	Idempotent      scalar[bool]          `yaml:"idempotent"`
}

type rawTenant struct {
	Name  scalar[string]  `yaml:"name"`
	Rate  scalar[float64] `yaml:"rate"`
	Burst scalar[int]     `yaml:"burst"`
	Share scalar[float64] `yaml:"share"`
	Home  scalar[string]  `yaml:"home"`
}

type rawBatch struct {
	WorkerLease      scalar[time.Duration] `yaml:"worker-lease"`
	MaxFailures      scalar[int]           `yaml:"max-failures"`
	EvictionsPerHour scalar[int]           `yaml:"evictions-per-hour"`
	MaxSlowdown      scalar[float64]       `yaml:"max-slowdown"`
	TailWeight       scalar[float64]       `yaml:"tail-weight"`
	ThroughputWeight scalar[float64]       `yaml:"throughput-weight"`
	EvictionWeight   scalar[float64]       `yaml:"eviction-weight"`
	DefaultTeamShare scalar[float64]       `yaml:"default-team-share"`
	Teams            []rawTeam             `yaml:"teams"`
}

type rawTeam struct {
	Name   scalar[string]  `yaml:"name"`
	Share  scalar[float64] `yaml:"share"`
	MaxCPU scalar[float64] `yaml:"max-processors"`
}

// Ranges and default values of the fields.
const (
	maxOperators            = 64
	maxDeadline             = 10 * time.Minute
	defaultDeadline         = 2 * time.Second
	defaultMaxDeadline      = 30 * time.Second
	defaultMaxQueue         = 256
	maxMaxQueue             = 100_000
	maxPriority             = 15
	defaultRate             = 100
	maxRate                 = 1_000_000
	maxTenants              = 10_000
	maxTeams                = 10_000
	defaultRetryPercent     = 10
	defaultKeyRetention     = 5 * time.Minute
	maxKeyRetention         = time.Hour
	maxWorkerLease          = 5 * time.Minute
	defaultMaxFailures      = 3
	defaultEvictionsPerHour = 120
	defaultMaxSlowdown      = 1.25
	maxBundleBytes          = 1 << 20
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,62}[a-z0-9])?$`)

type checker struct{ problems []Problem }

func (c *checker) add(line int, field, format string, args ...any) {
	c.problems = append(c.problems, Problem{Line: line, Field: field, Detail: fmt.Sprintf(format, args...)})
}

type number interface {
	~int | ~uint64 | ~float64 | ~int64
}

// checkRange returns the field's value, or its default, and adds a problem if the value is out of range.
func checkRange[T number](c *checker, f scalar[T], field string, def, low, high T) T {
	v := f.orDefault(def)
	if v < low || v > high {
		c.add(f.line, field, "%v is not between %v and %v", v, low, high)
	}
	return v
}

func (c *checker) name(f scalar[string], field string) string {
	if !namePattern.MatchString(f.v) {
		c.add(f.line, field, "%q is not a name of 1 to 64 of a-z, 0-9, '.' and '-'", f.v)
	}
	return f.v
}

// Parse decodes and validates a bundle and returns every problem found. The bundle may be used only if there are none.
func Parse(data []byte) (*Bundle, []Problem) {
	c := &checker{}
	if len(data) > maxBundleBytes {
		c.add(0, "bundle", "%d bytes are more than %d", len(data), maxBundleBytes)
		return nil, c.problems
	}
	var raw rawBundle
	dec := yaml.NewDecoder(bytes.NewReader(data))
	dec.KnownFields(true)
	if err := dec.Decode(&raw); err != nil {
		c.decodeError(err)
		return nil, c.problems
	}
	if err := dec.Decode(new(any)); !errors.Is(err, io.EOF) {
		c.add(0, "bundle", "more than one document")
	}
	b := c.bundle(&raw)
	return b, c.problems
}

var yamlErrorPattern = regexp.MustCompile(`^(?:yaml: )?line (\d+): (.*)$`)

var unknownKeyPattern = regexp.MustCompile(`^field (\S+) not found in type`)

// decodeError converts the errors of the YAML library, one for each line, to problems.
func (c *checker) decodeError(err error) {
	var te *yaml.TypeError
	if !errors.As(err, &te) {
		c.addYAMLError(err.Error())
		return
	}
	for _, e := range te.Errors {
		c.addYAMLError(e)
	}
}

func (c *checker) addYAMLError(text string) {
	m := yamlErrorPattern.FindStringSubmatch(text)
	if m == nil {
		c.add(0, "yaml", "%s", text)
		return
	}
	line, _ := strconv.Atoi(m[1])
	if u := unknownKeyPattern.FindStringSubmatch(m[2]); u != nil {
		c.add(line, u[1], "unknown key")
		return
	}
	c.add(line, "yaml", "%s", m[2])
}

func (c *checker) bundle(raw *rawBundle) *Bundle {
	if raw.Schema.v != SchemaVersion {
		c.add(raw.Schema.line, "schema", "%d is not %d", raw.Schema.v, SchemaVersion)
	}
	b := &Bundle{
		Version:      ident.Version(raw.Version.v),
		Parent:       ident.Version(raw.Parent.v),
		RetryPercent: checkRange(c, raw.Requests.RetryPercent, "requests.retry-percent", defaultRetryPercent, 0, 100),
		KeyRetention: checkRange(c, raw.Requests.KeyRetention, "requests.key-retention",
			defaultKeyRetention, time.Second, maxKeyRetention),
	}
	if b.Version != b.Parent+1 {
		c.add(raw.Version.line, "version", "%d is not the parent %d plus 1", b.Version, b.Parent)
	}
	c.operators(raw, b)
	c.services(raw, b)
	c.tenants(raw, b)
	c.batch(&raw.Batch, b)
	return b
}

func (c *checker) operators(raw *rawBundle, b *Bundle) {
	b.Operators = map[string]ed25519.PublicKey{}
	for i, k := range raw.Operators.Keys {
		field := fmt.Sprintf("operators.keys[%d]", i)
		name := c.name(k.Name, field+".name")
		if _, isDuplicate := b.Operators[name]; isDuplicate {
			c.add(k.Name.line, field+".name", "%q stands twice", name)
		}
		key, err := base64.StdEncoding.DecodeString(k.PublicKey.v)
		if err != nil || len(key) != ed25519.PublicKeySize {
			c.add(k.PublicKey.line, field+".public-key", "not a base64 ed25519 key of %d bytes", ed25519.PublicKeySize)
		}
		for other, otherKey := range b.Operators {
			if bytes.Equal(key, otherKey) {
				c.add(k.PublicKey.line, field+".public-key", "the key of %q again", other)
			}
		}
		b.Operators[name] = key
	}
	maxThreshold := min(max(1, len(b.Operators)), maxOperators)
	b.Threshold = checkRange(c, raw.Operators.Threshold, "operators.threshold", 1, 1, maxThreshold)
	if len(b.Operators) == 0 {
		c.add(raw.Operators.Threshold.line, "operators.keys", "at least one key is needed")
	}
}

func (c *checker) services(raw *rawBundle, b *Bundle) {
	b.Services = map[ident.Service]Service{}
	for i, s := range raw.Services {
		field := fmt.Sprintf("services[%d]", i)
		name := ident.Service(c.name(s.Name, field+".name"))
		if _, isDuplicate := b.Services[name]; isDuplicate {
			c.add(s.Name.line, field+".name", "%q stands twice", name)
		}
		svc := Service{Name: name, Classes: map[ident.Class]Class{}}
		for j, k := range s.Classes {
			class := c.class(k, fmt.Sprintf("%s.classes[%d]", field, j))
			if _, isDuplicate := svc.Classes[class.Name]; isDuplicate {
				c.add(k.Name.line, field+".classes", "%q stands twice", class.Name)
			}
			svc.Classes[class.Name] = class
			if svc.DefaultClass == "" {
				svc.DefaultClass = class.Name
			}
		}
		if s.DefaultClass.isSet {
			svc.DefaultClass = ident.Class(s.DefaultClass.v)
		}
		if _, ok := svc.Classes[svc.DefaultClass]; !ok {
			c.add(s.Name.line, field+".default-class", "%q is not a class of the service", svc.DefaultClass)
		}
		b.Services[name] = svc
	}
}

func (c *checker) class(k rawClass, field string) Class {
	class := Class{
		Name:     ident.Class(c.name(k.Name, field+".name")),
		Priority: checkRange(c, k.Priority, field+".priority", 0, 0, maxPriority),
		DefaultDeadline: checkRange(c, k.DefaultDeadline, field+".default-deadline",
			defaultDeadline, time.Millisecond, maxDeadline),
		MaxDeadline: checkRange(c, k.MaxDeadline, field+".max-deadline",
			defaultMaxDeadline, time.Millisecond, maxDeadline),
		MaxQueue:   checkRange(c, k.MaxQueue, field+".max-queue", defaultMaxQueue, 1, maxMaxQueue),
		Idempotent: k.Idempotent.v,
	}
	if class.DefaultDeadline > class.MaxDeadline {
		c.add(k.DefaultDeadline.line, field+".default-deadline", "%v is above max-deadline %v",
			class.DefaultDeadline, class.MaxDeadline)
	}
	return class
}

func (c *checker) tenants(raw *rawBundle, b *Bundle) {
	b.DefaultTenant = c.tenant(raw.Tenants.Default, "tenants.default", Tenant{Rate: defaultRate, Share: 1})
	b.Tenants = map[ident.Tenant]Tenant{}
	if len(raw.Tenants.Named) > maxTenants {
		c.add(raw.Tenants.Named[maxTenants].Name.line, "tenants.named", "more than %d tenants", maxTenants)
	}
	for i, t := range raw.Tenants.Named {
		field := fmt.Sprintf("tenants.named[%d]", i)
		tenant := c.tenant(t, field, b.DefaultTenant)
		tenant.Name = ident.Tenant(c.name(t.Name, field+".name"))
		if _, isDuplicate := b.Tenants[tenant.Name]; isDuplicate {
			c.add(t.Name.line, field+".name", "%q stands twice", tenant.Name)
		}
		b.Tenants[tenant.Name] = tenant
	}
}

func (c *checker) tenant(t rawTenant, field string, defaults Tenant) Tenant {
	rate := checkRange(c, t.Rate, field+".rate", defaults.Rate, 0.001, maxRate)
	burst := max(1, int(2*rate))
	out := Tenant{
		Rate:  rate,
		Burst: checkRange(c, t.Burst, field+".burst", burst, 1, 2*maxRate),
		Share: checkRange(c, t.Share, field+".share", defaults.Share, 0.001, 1000),
		Home:  ident.Domain(t.Home.orDefault(string(defaults.Home))),
	}
	if t.Home.isSet {
		c.name(t.Home, field+".home")
	}
	return out
}

func (c *checker) batch(raw *rawBatch, b *Bundle) {
	b.Batch = Batch{
		WorkerLease: checkRange(c, raw.WorkerLease, "batch.worker-lease",
			DefaultWorkerLease, time.Second, maxWorkerLease),
		MaxFailures: checkRange(c, raw.MaxFailures, "batch.max-failures", defaultMaxFailures, 1, 100),
		EvictionsPerHour: checkRange(c, raw.EvictionsPerHour, "batch.evictions-per-hour",
			defaultEvictionsPerHour, 0, 100_000),
		MaxSlowdown:      checkRange(c, raw.MaxSlowdown, "batch.max-slowdown", defaultMaxSlowdown, 1, 10),
		TailWeight:       checkRange(c, raw.TailWeight, "batch.tail-weight", 1, 0, 100),
		ThroughputWeight: checkRange(c, raw.ThroughputWeight, "batch.throughput-weight", 1, 0, 100),
		EvictionWeight:   checkRange(c, raw.EvictionWeight, "batch.eviction-weight", 1, 0, 100),
		DefaultTeamShare: checkRange(c, raw.DefaultTeamShare, "batch.default-team-share", 1, 0.001, 1000),
		Teams:            map[ident.Team]Team{},
	}
	if len(raw.Teams) > maxTeams {
		c.add(raw.Teams[maxTeams].Name.line, "batch.teams", "more than %d teams", maxTeams)
	}
	for i, t := range raw.Teams {
		field := fmt.Sprintf("batch.teams[%d]", i)
		team := Team{
			Name:   ident.Team(c.name(t.Name, field+".name")),
			Share:  checkRange(c, t.Share, field+".share", b.Batch.DefaultTeamShare, 0.001, 1000),
			MaxCPU: checkRange(c, t.MaxCPU, field+".max-processors", 0, 0, 1_000_000),
		}
		if _, isDuplicate := b.Batch.Teams[team.Name]; isDuplicate {
			c.add(t.Name.line, field+".name", "%q stands twice", team.Name)
		}
		b.Batch.Teams[team.Name] = team
	}
}
