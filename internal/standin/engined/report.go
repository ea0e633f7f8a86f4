package engined

import (
	"net/http"
	"time"

	"github.com/zinniafork/zinniafork/internal/standin/fault"
	"github.com/zinniafork/zinniafork/internal/target"
)

// maxReports limits the reports that are kept until they are old enough.
const maxReports = 4096

// reportLog keeps the load after each change, the newest last.
type reportLog struct{ reports []target.Report }

// noteLoad keeps the present load. The caller holds the lock.
func (s *Server) noteLoad() {
	if s.opt.ReportLag <= 0 {
		return
	}
	l := &s.reports
	l.reports = append(l.reports, s.present())
	if len(l.reports) > maxReports {
		l.reports = l.reports[1:]
	}
}

func (s *Server) present() target.Report {
	return target.Report{
		Incarnation: s.incarnation,
		At:          time.Now(),
		Running:     s.batch.running,
		Queued:      len(s.batch.waiting),
		Slots:       s.batch.limit,
		Capacity:    s.batch.slots,
		Cold:        s.batch.cold(),
		Models:      s.models.list(),
		Role:        s.models.role,
		CacheTokens: s.cache.tokens,
		Fencing:     s.models.fencing,
	}
}

// lagged returns the load as it was ReportLag ago. The caller holds the lock.
func (s *Server) lagged() target.Report {
	if s.opt.ReportLag <= 0 {
		return s.present()
	}
	limit := time.Now().Add(-s.opt.ReportLag)
	l := &s.reports
	for len(l.reports) > 1 && !l.reports[1].At.After(limit) {
		l.reports = l.reports[1:]
	}
	report := l.reports[0]
	if report.At.Before(limit) {
		report.At = limit
	}
	return report
}

func (s *Server) report(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	report := s.lagged()
	s.mu.Unlock()
	report.AgeMS = time.Since(report.At).Milliseconds()
	fault.WriteJSON(w, report)
}
