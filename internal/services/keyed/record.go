package keyed

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/ibischute/ibischute/internal/modules/suprv"
	"github.com/ibischute/ibischute/internal/modules/wire"
	"github.com/ibischute/ibischute/internal/state/view"
	"github.com/ibischute/ibischute/pkg/fault"
	"github.com/ibischute/ibischute/pkg/ident"
)

// syncInterval is how often changes of the view are applied and missing keys are pulled from other members.
const syncInterval = 200 * time.Millisecond

// otherMembers returns the members of the view without this instance.
func (k *Keyed) otherMembers() []view.Member {
	var out []view.Member
	for _, m := range k.opts.Member.View().Members() {
		if m.Name != k.opts.Self {
			out = append(out, m)
		}
	}
	return out
}

type storeResult struct {
	res *wire.StoreIntentResponse
	err error
}

// recordAtMajority has a majority of the view, including this instance, record the start. It returns the state that
// another member already has, if any.
func (k *Keyed) recordAtMajority(ctx context.Context, in *wire.Intent) (*wire.Intent, error) {
	others := k.otherMembers()
	remaining := (len(others) + 1) / 2
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	results := make(chan storeResult, len(others))
	for _, m := range others {
		ok := k.calls.Go(ctx, func(ctx context.Context) {
			res, err := k.storeAt(ctx, m, in)
			results <- storeResult{res, err}
		})
		if !ok {
			results <- storeResult{err: fault.New(fault.CodeOverloaded, fault.NotRun, "too many records under way")}
		}
	}
	for i := 0; i < len(others) && remaining > 0; i++ {
		s := <-results
		if s.err != nil || !s.res.GetStored() {
			continue
		}
		if len(s.res.GetIntents()) > 0 {
			return s.res.GetIntents()[0], nil
		}
		remaining--
	}
	if remaining > 0 {
		return nil, fault.New(fault.CodeNoOwner, fault.NotRun, "too few members of the domain recorded the key").
			WithRetry(retryAfter)
	}
	return nil, nil
}

func (k *Keyed) storeAt(ctx context.Context, m view.Member, in *wire.Intent) (*wire.StoreIntentResponse, error) {
	req := &wire.StoreIntentRequest{Owner: k.opts.Member.Wire(), Intents: []*wire.Intent{in}}
	return k.opts.Dial(m.Address).StoreIntent(ctx, req)
}

// HandleStore records the states sent by the owner of the keys and returns the local states that are newer.
func (k *Keyed) HandleStore(req *wire.StoreIntentRequest) *wire.StoreIntentResponse {
	v := k.opts.Member.View()
	owner := ident.Instance(req.GetOwner().GetName())
	if !v.Has(owner, ident.Incarnation(req.GetOwner().GetIncarnation())) || !k.isSynced() {
		return &wire.StoreIntentResponse{}
	}
	now := k.opts.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	res := &wire.StoreIntentResponse{Stored: true}
	for _, in := range req.GetIntents() {
		if k.store.Len() >= 2*maxKeys {
			return &wire.StoreIntentResponse{}
		}
		if newer := k.store.Merge(now, in, k.retention()); newer != nil {
			res.Intents = append(res.Intents, newer)
		}
	}
	return res
}

// HandleFetch returns the states of all keys stored here.
func (k *Keyed) HandleFetch() *wire.FetchIntentsResponse {
	now := k.opts.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	return &wire.FetchIntentsResponse{
		Intents: k.store.All(now), Synced: k.copies.IsComplete(), LostMs: k.copies.LossRemaining(now).Milliseconds(),
	}
}

func (k *Keyed) isSynced() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.copies.IsComplete()
}

// IsReady reports whether this instance can serve keyed requests: it has taken over the keys of its domain and knows a
// peer in every other domain to forward to.
func (k *Keyed) IsReady() bool {
	if !k.isSynced() {
		return false
	}
	for _, d := range k.opts.Domains {
		if _, ok := k.peerInDomain(d); !ok && d != k.opts.Domain {
			return false
		}
	}
	return true
}

// Sync returns the service that takes over keys after a join and restores replicas after the loss of a member.
func (k *Keyed) Sync() suprv.Service { return suprv.Every("keyed-sync", syncInterval, k.syncOnce) }

// syncOnce applies changes of the view and pulls keys from the members whose keys this instance may lack.
func (k *Keyed) syncOnce(ctx context.Context) {
	k.mu.Lock()
	k.recordVersion(k.opts.Now())
	k.mu.Unlock()
	if !k.opts.Member.IsJoined() {
		return
	}
	v := k.opts.Member.View()
	k.mu.Lock()
	self, _ := v.Member(k.opts.Self)
	k.store.SetWriter(fmt.Sprintf("%s/%d", self.Name, self.Incarnation))
	wasComplete := k.copies.IsComplete()
	hadLoss := k.copies.LossRemaining(k.opts.Now()) > 0
	toPull := k.copies.UpdateView(k.opts.Now(), v, k.retention())
	k.mu.Unlock()
	for _, m := range toPull {
		k.pullFrom(ctx, m)
	}
	if !hadLoss && k.lossRemaining() > 0 {
		k.opts.Logger.Error().Dur("assumed-lost-for", k.lossRemaining()).Msg("key-records-lost")
	}
	if !wasComplete && k.isSynced() {
		k.opts.Logger.Info().Int("members", len(toPull)).Msg("keys-taken-over")
	}
}

func (k *Keyed) lossRemaining() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.copies.LossRemaining(k.opts.Now())
}

func (k *Keyed) pullFrom(ctx context.Context, m view.Member) {
	ctx, cancel := context.WithTimeout(ctx, 2*recordTimeout)
	defer cancel()
	res, err := k.opts.Dial(m.Address).FetchIntents(ctx, &wire.FetchIntentsRequest{})
	if err != nil || !res.GetSynced() {
		return
	}
	now := k.opts.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, in := range res.GetIntents() {
		k.store.Merge(now, in, k.retention())
	}
	k.copies.Pulled(now, m, time.Duration(res.GetLostMs())*time.Millisecond)
}

// HandOver sends all keys stored here to the other members. It is called before this instance leaves.
func (k *Keyed) HandOver(ctx context.Context) {
	k.mu.Lock()
	all := k.store.All(k.opts.Now())
	k.mu.Unlock()
	for _, m := range k.otherMembers() {
		for chunk := range slices.Chunk(all, handOverChunkSize) {
			req := &wire.StoreIntentRequest{Owner: k.opts.Member.Wire(), Intents: chunk}
			if _, err := k.opts.Dial(m.Address).StoreIntent(ctx, req); err != nil {
				k.opts.Logger.Warn().Err(err).Str("member", string(m.Name)).Msg("keys-not-handed-over")
				break
			}
		}
	}
}

// handOverChunkSize is the number of keys in one message.
const handOverChunkSize = 500
