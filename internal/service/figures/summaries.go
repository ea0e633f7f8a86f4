package figures

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/zinniafork/zinniafork/internal/core/usage"
)

// Summaries returns the newest summary of each site.
func (s *Service) Summaries(ctx context.Context) ([]Summary, error) {
	err := s.readSummaries(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Summary, 0, len(s.known))
	for _, site := range slices.Sorted(maps.Keys(s.known)) {
		out = append(out, s.known[site])
	}
	return out, err
}

func (s *Service) readSummaries(ctx context.Context) error {
	s.mu.Lock()
	fresh := s.clock.Now().Sub(s.readAt) < readAgain
	s.mu.Unlock()
	if fresh {
		return nil
	}
	page, err := s.log.Read(ctx, Stream, 0, 1, 0)
	if err != nil {
		return fmt.Errorf("read summaries: %w", err)
	}
	from := page.Earliest
	if page.Next > readBack {
		from = max(from, page.Next-readBack)
	}
	if page, err = s.log.Read(ctx, Stream, from, readBack, 0); err != nil {
		return fmt.Errorf("read summaries: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readAt = s.clock.Now()
	for _, r := range page.Records {
		var summary Summary
		if json.Unmarshal(r.Data, &summary) != nil {
			continue
		}
		if !summary.At.Before(s.known[summary.Site].At) {
			s.known[summary.Site] = withShares(summary)
		}
	}
	return nil
}

// withShares works out the shares anew, so that they always agree with the
// counts.
func withShares(summary Summary) Summary {
	totals := make(usage.Totals)
	totals.Merge(summary.Accounts)
	summary.Accounts = totals.Entries()
	return summary
}
