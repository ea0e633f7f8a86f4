// Package fencing sends orders, such as a model load, to targets in a way that
// an earlier owner, which was paused for example, cannot send an older order
// after a newer one.
//
// Each owner first appends a claim of the target to a stream of the log. The
// position of the claim in the stream gives the fencing token of its orders. A
// target that checks tokens rejects older ones itself. For other targets, an
// owner waits until the previous owner must have stopped and reads the claims
// again before each order. The lease is confirmed right before the order is
// sent.
package fencing

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/core/fencing"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/kernel"
	"github.com/zinniafork/zinniafork/internal/platform/logstream"
	"github.com/zinniafork/zinniafork/internal/service/configsync"
	"github.com/zinniafork/zinniafork/internal/service/identity"
	"github.com/zinniafork/zinniafork/internal/service/owner"
	"github.com/zinniafork/zinniafork/internal/service/platform"
)

// Name is the name of the service in the kernel.
const Name = "fencing"

const (
	// pageSize is the number of records read from the log in one page.
	pageSize = 500
	// expiryLeases is the number of lease durations for which the previous
	// owner may still send orders to a target that does not check tokens.
	expiryLeases = 2
	// confirmTimeout limits one confirmation of a lease.
	confirmTimeout = time.Second
	// step names this service in errors.
	step = "fencing"
)

func init() {
	kernel.Register(Name, func() kernel.Service { return new(Service) })
}

// Guard lets only the owner of a target send orders to it.
type Guard interface {
	// SendOrder waits until this router may send an order to the target and
	// calls send with the fencing token of its claim. It returns a *call.Error
	// with call.RunNot if send was not called, and the error of send otherwise.
	SendOrder(ctx context.Context, t *config.Target, send func(ctx context.Context, token uint64) error) error
}

// Service implements Guard. It appends the claims of this router and reads those
// of all routers of the site.
type Service struct {
	config   configsync.Source
	owners   owner.Ownership
	identity identity.Identity
	log      logstream.Log
	clock    kernel.Clock
	logger   *logrus.Entry
	// process is a random number that tells the claims of this process from
	// those of others.
	process uint64

	mu sync.Mutex
	// claims holds the claims read so far.
	claims *fencing.ClaimTable
	// seq counts the claims of this process.
	seq uint64
	// ownClaims holds the newest claim of this router for each target.
	ownClaims map[fleet.Target]ownClaim
}

// ownClaim is a claim of this router and the ownership term it was made in.
type ownClaim struct {
	nonce fencing.Nonce
	term  uint64
}

// Name returns the name of the service in the kernel.
func (*Service) Name() string { return Name }

// Provision looks up the configuration, ownership, the identity and the log, and
// generates the process number. It fails if one of them is missing.
func (s *Service) Provision(c *kernel.Context) error {
	var err error
	if s.config, err = kernel.Lookup[configsync.Source](c, configsync.Name); err != nil {
		return err
	}
	if s.owners, err = kernel.Lookup[owner.Ownership](c, owner.Name); err != nil {
		return err
	}
	if s.identity, err = kernel.Lookup[identity.Identity](c, identity.Name); err != nil {
		return err
	}
	p, err := kernel.Lookup[platform.Platform](c, platform.Name)
	if err != nil {
		return err
	}
	s.log = p.Log()
	s.clock, s.logger = c.Clock, c.Logger()
	s.claims = fencing.NewClaimTable()
	s.ownClaims = make(map[fleet.Target]ownClaim)
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return fmt.Errorf("generate the process number: %w", err)
	}
	s.process = binary.LittleEndian.Uint64(b[:])
	return nil
}

// SendOrder calls send with the fencing token once this router may send an order
// to the target.
func (s *Service) SendOrder(ctx context.Context, t *config.Target, send func(ctx context.Context, token uint64) error) error {
	resource := owner.TargetResource(t.Name)
	term := s.owners.Term(resource)
	if term == 0 {
		return refusal(t, call.CodeNotOwner, "this router does not own the target", nil)
	}
	if err := s.ensureClaim(ctx, t, term); err != nil {
		return err
	}
	token, err := s.waitForPermission(ctx, t)
	if err != nil {
		return err
	}
	if err := s.confirmLease(ctx, t, resource, term); err != nil {
		return err
	}
	return send(ctx, token)
}

// ensureClaim makes sure that this router has a claim of the target for its
// ownership term, and has read it from the log. It appends one if there is
// none.
func (s *Service) ensureClaim(ctx context.Context, t *config.Target, term uint64) error {
	s.mu.Lock()
	known, ok := s.ownClaims[t.Name]
	if ok && known.term == term {
		s.mu.Unlock()
		return nil
	}
	s.seq++
	nonce := fencing.Nonce{Process: s.process, Seq: s.seq}
	s.mu.Unlock()

	c := fencing.Claim{Target: t.Name, Router: s.identity.Self().VM, Incarnation: s.identity.Incarnation(), Nonce: nonce}
	data, err := c.Encode()
	if err != nil {
		return refusal(t, call.CodeInternal, "cannot encode claim", err)
	}
	// The claim may be in the log although the append returned an error, because
	// the response was lost. Reading the log shows it.
	_, appendErr := s.log.Append(ctx, s.stream(), data)
	if err := s.readClaims(ctx); err != nil {
		return refusal(t, call.CodeLogUnavailable, "cannot read claims", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if newest, ok := s.claims.Newest(t.Name); !ok || newest.Nonce != nonce {
		return refusal(t, call.CodeLogUnavailable, "the newest claim in the log is not the one appended", appendErr)
	}
	s.ownClaims[t.Name] = ownClaim{nonce: nonce, term: term}
	return nil
}

// waitForPermission waits until this router may send an order to the target and
// returns the fencing token. For a target that does not check tokens, it reads
// the claims again before it returns, to find one of a newer owner.
func (s *Service) waitForPermission(ctx context.Context, t *config.Target) (uint64, error) {
	lease := expiryLeases * s.config.Current().Control.Lease.Std()
	for {
		decision, wait, token := s.checkClaim(t, lease)
		switch {
		case decision == fencing.Superseded:
			return 0, refusal(t, call.CodeNotOwner, "another router has claimed the target", nil)
		case decision == fencing.Wait:
			if err := s.clock.Sleep(ctx, wait); err != nil {
				return 0, refusal(t, call.CodeDeadline, "the previous owner may still send orders", err)
			}
			continue
		case t.ChecksFencing:
			return token, nil
		}
		if err := s.readClaims(ctx); err != nil {
			return 0, refusal(t, call.CodeLogUnavailable, "cannot read claims", err)
		}
		if decision, _, token = s.checkClaim(t, lease); decision == fencing.Proceed {
			return token, nil
		}
	}
}

// checkClaim returns the decision about an order to the target, the time to
// wait if the decision is to wait, and the token of the newest claim.
func (s *Service) checkClaim(t *config.Target, lease time.Duration) (fencing.Decision, time.Duration, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	decision, wait := s.claims.Check(s.clock.Now(), s.ownClaims[t.Name].nonce, t.Name, t.ChecksFencing, lease)
	newest, _ := s.claims.Newest(t.Name)
	return decision, wait, newest.Token()
}

// confirmLease confirms the lease of the target and returns an error if that
// fails or if the ownership term is no longer term.
func (s *Service) confirmLease(ctx context.Context, t *config.Target, r owner.Resource, term uint64) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if err := s.owners.Confirm(ctx, r); err != nil {
		return refusal(t, call.CodeNotOwner, "the lease is not confirmed", err)
	}
	if s.owners.Term(r) != term {
		return refusal(t, call.CodeNotOwner, "the ownership term of the target has changed", nil)
	}
	return nil
}

// readClaims reads the claims from the last position up to the end of the
// stream.
func (s *Service) readClaims(ctx context.Context) error {
	for {
		s.mu.Lock()
		from := s.claims.Next()
		s.mu.Unlock()
		page, err := s.log.Read(ctx, s.stream(), from, pageSize, 0)
		if err != nil {
			return err
		}
		if s.applyPage(&page) >= page.Next {
			return nil
		}
	}
}

// applyPage applies a page of the stream and returns the offset of the next
// record to read. Records that are not claims are skipped.
func (s *Service) applyPage(page *logstream.Page) (next uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.claims.SkipTo(page.Earliest)
	for _, r := range page.Records {
		c, err := fencing.DecodeClaim(r.Data)
		if err != nil {
			s.logger.WithError(err).WithField("offset", r.Offset).Error("Undecodable claim skipped.")
			s.claims.SkipRecord(r.Offset)
			continue
		}
		s.claims.Apply(s.clock.Now(), r.Offset, c)
	}
	return s.claims.Next()
}

// stream returns the name of the log stream with the claims of the site.
func (s *Service) stream() string { return fmt.Sprintf("fencing-%s", s.identity.Self().Site) }

// refusal returns the error of an order that was not sent to t.
func refusal(t *config.Target, code call.Code, message string, cause error) *call.Error {
	return &call.Error{Code: code, Step: step, Peer: string(t.Name), Run: call.RunNot, Message: message, Cause: cause}
}

// Interface guards.
var (
	_ Guard              = (*Service)(nil)
	_ kernel.Provisioner = (*Service)(nil)
)
