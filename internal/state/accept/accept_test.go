package accept

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/ibischute/ibischute/internal/modules/wire"
	"github.com/ibischute/ibischute/pkg/bundle"
	"github.com/ibischute/ibischute/pkg/ident"
)

var operators = []string{"anna", "bela", "cora"}

func privateKeyOf(name string) ed25519.PrivateKey {
	seed := sha256.Sum256([]byte(name))
	return ed25519.NewKeyFromSeed(seed[:])
}

func publicKeyOf(name string) ed25519.PublicKey {
	public, _ := privateKeyOf(name).Public().(ed25519.PublicKey)
	return public
}

func root() bundle.Authority {
	authority := bundle.Authority{Threshold: 2, Operators: map[string]ed25519.PublicKey{}}
	for _, n := range operators {
		authority.Operators[n] = publicKeyOf(n)
	}
	return authority
}

func bundleText(version int, variant string, threshold int, names ...string) []byte {
	s := fmt.Sprintf("schema: 1\nversion: %d\nparent: %d\n# %s\noperators:\n  threshold: %d\n  keys:\n",
		version, version-1, variant, threshold)
	for _, n := range names {
		s += fmt.Sprintf("    - {name: %s, public-key: %s}\n", n, base64.StdEncoding.EncodeToString(publicKeyOf(n)))
	}
	return []byte(s)
}

func proposal(data []byte) *wire.ConfigRecord {
	return &wire.ConfigRecord{Kind: &wire.ConfigRecord_Proposal{
		Proposal: &wire.Proposal{Id: bundle.ID(data), Bundle: data},
	}}
}

func signOff(data []byte, name string) *wire.ConfigRecord {
	id := bundle.ID(data)
	return &wire.ConfigRecord{Kind: &wire.ConfigRecord_SignOff{SignOff: &wire.SignOff{
		ProposalId: id, Operator: name, Signature: bundle.Sign(privateKeyOf(name), id),
	}}}
}

func apply(f *Fold, records ...*wire.ConfigRecord) {
	for i, r := range records {
		f.Apply(r, ident.Offset(i))
	}
}

func TestSignOffUsesThresholdInForce(t *testing.T) {
	f := New(root())
	one := bundleText(1, "one", 3, operators...)
	apply(f, proposal(one), signOff(one, "anna"), signOff(one, "anna"))
	assert.Equal(t, f.Version(), ident.Version(0), "two sign-offs of one operator count once")
	apply(f, signOff(one, "bela"))
	assert.Equal(t, f.Version(), ident.Version(1), "the root threshold of two applies, not the new one of three")
	two := bundleText(2, "two", 1, "anna")
	apply(f, proposal(two), signOff(two, "anna"), signOff(two, "bela"))
	assert.Equal(t, f.Version(), ident.Version(1))
	apply(f, signOff(two, "cora"))
	assert.Equal(t, f.Version(), ident.Version(2))
	three := bundleText(3, "three", 1, "anna")
	apply(f, proposal(three), signOff(three, "bela"))
	assert.Equal(t, f.Version(), ident.Version(2), "bela is not an operator any more")
}

func TestSecondChildOfParentConflicts(t *testing.T) {
	f := New(root())
	left, right := bundleText(1, "left", 2, operators...), bundleText(1, "right", 2, operators...)
	apply(f, proposal(left), proposal(right), signOff(left, "anna"), signOff(right, "anna"), signOff(right, "bela"),
		signOff(left, "bela"), signOff(left, "cora"))
	assert.Equal(t, f.Version(), ident.Version(1))
	accepted, err := f.Status(bundle.ID(right))
	assert.NilError(t, err)
	assert.Equal(t, accepted.State, StateAccepted)
	conflicting, err := f.Status(bundle.ID(left))
	assert.NilError(t, err)
	assert.Equal(t, conflicting.State, StateConflict)
}

// TestConcurrentProposals folds random interleavings of proposals and sign-offs, with duplicates. It checks that
// versions increase one by one, and that an instance that catches up from the records returned by RecordsAfter reaches
// the same accepted proposal.
func TestConcurrentProposals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var pool []*wire.ConfigRecord
		for version := 1; version <= 3; version++ {
			for _, variant := range []string{"left", "right"} {
				data := bundleText(version, variant, rapid.IntRange(1, 3).Draw(t, "threshold"), operators...)
				pool = append(pool, proposal(data))
				for _, n := range operators {
					pool = append(pool, signOff(data, n))
				}
			}
		}
		f, behind := New(root()), New(root())
		last := ident.Version(0)
		for i := range rapid.IntRange(0, 150).Draw(t, "records") {
			f.Apply(rapid.SampledFrom(pool).Draw(t, "record"), ident.Offset(i))
			assert.Assert(t, f.Version() == last || f.Version() == last+1, "versions increase one by one")
			last = f.Version()
		}
		records, err := f.RecordsAfter(behind.Version())
		assert.NilError(t, err)
		apply(behind, records...)
		assert.Equal(t, behind.Version(), f.Version())
		if f.InForce() != nil {
			assert.Equal(t, behind.accepted[len(behind.accepted)-1].ID, f.accepted[len(f.accepted)-1].ID)
		}
	})
}

// FuzzFold checks that arbitrary bytes never put a version in force that was not signed off.
func FuzzFold(f *testing.F) {
	one := bundleText(1, "one", 2, operators...)
	for _, r := range []*wire.ConfigRecord{proposal(one), signOff(one, "anna")} {
		data, _ := proto.Marshal(r)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		fold := New(root())
		apply(fold, proposal(one), signOff(one, "anna"))
		rec, err := Decode(data)
		if err == nil {
			fold.Apply(rec, 2)
		}
		if fold.Version() != 0 && !isSignOffOf(rec, one) {
			t.Fatal("a version came into force without a second sign-off")
		}
	})
}

func isSignOffOf(rec *wire.ConfigRecord, data []byte) bool {
	s := rec.GetSignOff()
	isOther := s != nil && s.GetOperator() != "anna"
	return isOther && bundle.Verify(publicKeyOf(s.GetOperator()), bundle.ID(data), s.GetSignature())
}
