// Package fencing lets the owner of a target give it orders, such as a model
// load, that no earlier owner can follow with an older one.
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

// Name is the service's name in the kernel.
const Name = "fencing"

const (
	// readLimit is the number of claims in one page.
	readLimit = 500
	// leases is the number of lease times for which the holder before may go
	// on at a target that checks no numbers.
	leases = 2
	// confirmTimeout limits the confirmation of a lease.
	confirmTimeout = time.Second
	// step names this part in errors.
	step = "fencing"
)

func init() {
	kernel.Register(Name, func() kernel.Service { return new(Service) })
}

// Guard lets an order be sent by the owner of a target alone.
type Guard interface {
	// SendOrder calls send with the fencing number of this router's claim once the
	// order may be sent. The error is a *call.Error with call.RunNot when send
	// was not called, else the error of send.
	SendOrder(ctx context.Context, t *config.Target, send func(ctx context.Context, number uint64) error) error
}

// Service keeps this router's claims.
type Service struct {
	config   configsync.Source
	owners   owner.Ownership
	identity identity.Identity
	log      logstream.Log
	clock    kernel.Clock
	logger   *logrus.Entry
	process  uint64

	mu    sync.Mutex
	board *fencing.ClaimTable
	seq   uint64
	own   map[fleet.Target]claimed
}

// claimed is a claim of this router and the tenure it was made in.
type claimed struct {
	nonce fencing.Nonce
	term  uint64
}

// Name returns the service's name.
func (*Service) Name() string { return Name }

// Provision looks up the log and ownership.
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
	s.board = fencing.NewClaimTable()
	s.own = make(map[fleet.Target]claimed)
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return fmt.Errorf("draw the number of this process: %w", err)
	}
	s.process = binary.LittleEndian.Uint64(b[:])
	return nil
}

// SendOrder sends an order to a target that this router owns.
func (s *Service) SendOrder(ctx context.Context, t *config.Target, send func(ctx context.Context, number uint64) error) error {
	resource := owner.TargetResource(t.Name)
	term := s.owners.Term(resource)
	if term == 0 {
		return refused(t, call.CodeNotOwner, "this router does not own the target", nil)
	}
	if err := s.claim(ctx, t, term); err != nil {
		return err
	}
	number, err := s.permit(ctx, t)
	if err != nil {
		return err
	}
	if err := s.confirm(ctx, t, resource, term); err != nil {
		return err
	}
	return send(ctx, number)
}

// claim makes sure that this tenure has a claim that was read.
func (s *Service) claim(ctx context.Context, t *config.Target, term uint64) error {
	s.mu.Lock()
	known, ok := s.own[t.Name]
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
		return refused(t, call.CodeInternal, "cannot write claim", err)
	}
	// The claim may be in the log although its answer was lost: reading tells.
	_, appendErr := s.log.Append(ctx, s.stream(), data)
	if err := s.readAll(ctx); err != nil {
		return refused(t, call.CodeLogUnavailable, "cannot read claims", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if newest, ok := s.board.Newest(t.Name); !ok || newest.Nonce != nonce {
		return refused(t, call.CodeLogUnavailable, "claim is not the newest", appendErr)
	}
	s.own[t.Name] = claimed{nonce: nonce, term: term}
	return nil
}

// permit waits until an order may be sent and returns its number. At a target
// that checks no numbers the stream is read again first.
func (s *Service) permit(ctx context.Context, t *config.Target) (uint64, error) {
	lease := leases * s.config.Current().Control.Lease.Std()
	for {
		verdict, left, number := s.judge(t, lease)
		switch {
		case verdict == fencing.Superseded:
			return 0, refused(t, call.CodeNotOwner, "another router has claimed the target", nil)
		case verdict == fencing.Wait:
			if err := s.clock.Sleep(ctx, left); err != nil {
				return 0, refused(t, call.CodeDeadline, "the owner before may still act", err)
			}
			continue
		case t.ChecksFencing:
			return number, nil
		}
		if err := s.readAll(ctx); err != nil {
			return 0, refused(t, call.CodeLogUnavailable, "cannot read claims", err)
		}
		if verdict, _, number = s.judge(t, lease); verdict == fencing.Proceed {
			return number, nil
		}
	}
}

func (s *Service) judge(t *config.Target, lease time.Duration) (fencing.Decision, time.Duration, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	verdict, left := s.board.Check(s.clock.Now(), s.own[t.Name].nonce, t.Name, t.ChecksFencing, lease)
	newest, _ := s.board.Newest(t.Name)
	return verdict, left, newest.Token()
}

func (s *Service) confirm(ctx context.Context, t *config.Target, r owner.Resource, term uint64) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if err := s.owners.Confirm(ctx, r); err != nil {
		return refused(t, call.CodeNotOwner, "the lease is not confirmed", err)
	}
	if s.owners.Term(r) != term {
		return refused(t, call.CodeNotOwner, "the target has changed hands", nil)
	}
	return nil
}

// readAll reads the claims up to the end of the stream.
func (s *Service) readAll(ctx context.Context) error {
	for {
		s.mu.Lock()
		from := s.board.Next()
		s.mu.Unlock()
		page, err := s.log.Read(ctx, s.stream(), from, readLimit, 0)
		if err != nil {
			return err
		}
		if s.apply(&page) >= page.Next {
			return nil
		}
	}
}

func (s *Service) apply(page *logstream.Page) (next uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.board.SkipTo(page.Earliest)
	for _, r := range page.Records {
		c, err := fencing.DecodeClaim(r.Data)
		if err != nil {
			s.logger.WithError(err).WithField("offset", r.Offset).Error("Claim skipped.")
			s.board.SkipRecord(r.Offset)
			continue
		}
		s.board.Apply(s.clock.Now(), r.Offset, c)
	}
	return s.board.Next()
}

func (s *Service) stream() string { return fmt.Sprintf("fencing-%s", s.identity.Self().Site) }

func refused(t *config.Target, code call.Code, message string, cause error) *call.Error {
	return &call.Error{Code: code, Step: step, Peer: string(t.Name), Run: call.RunNot, Message: message, Cause: cause}
}

// Interface guards.
var (
	_ Guard              = (*Service)(nil)
	_ kernel.Provisioner = (*Service)(nil)
)
