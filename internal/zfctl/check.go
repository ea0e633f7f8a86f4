package zfctl

import (
	"bytes"
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"

	"github.com/zinniafork/zinniafork/internal/cli"
	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/core/configstate"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/routecheck"
	"github.com/zinniafork/zinniafork/internal/sitecheck"
	"github.com/zinniafork/zinniafork/platform/configdoc"
)

const (
	// exitCheckUsage is the exit code of check for wrong arguments and for files
	// that can't be read.
	exitCheckUsage = 2
	// maxCheckBytes bounds a configuration. One of 10,000 routes has 3 MB.
	maxCheckBytes = 64 << 20
	// standardInput stands for the standard input in the place of a file.
	standardInput = "-"
)

// Formats of a configuration.
const (
	formatAuto     = "auto"
	formatPlatform = "platform"
	formatSite     = "site"
)

type checkCommand struct {
	File         string            `arg:"" predictor:"file" help:"File with the configuration, - for the standard input."`
	Format       string            `enum:"auto,platform,site" default:"auto" help:"platform (JSON), site (TOML, the project's own) or auto."`
	Overlay      map[string]string `help:"Overlay files of the format site, as SITE=FILE." placeholder:"SITE=FILE" mapsep:","`
	Against      string            `predictor:"file" help:"Configuration in force to compare with: a file, or the URL of a router's metrics address." placeholder:"FILE|URL"`
	SmallestVMMB int               `name:"smallest-vm-mb" help:"Memory of the smallest VM in MB." placeholder:"MB"`
	VMs          int               `name:"vms" help:"Number of VMs that run a router." placeholder:"N"`
	DataCentre   map[string]int    `help:"Number of VMs of each data centre." placeholder:"NAME=VMS" mapsep:","`
	TargetSlots  map[string]int    `help:"Slots of one target of a service." placeholder:"SERVICE=SLOTS" mapsep:","`

	stdin io.Reader
}

// UsageCode returns the exit code for wrong arguments.
func (*checkCommand) UsageCode() int { return exitCheckUsage }

// Validate checks the facts of the deployment.
func (c *checkCommand) Validate() error {
	sum := 0
	for name, n := range c.DataCentre {
		if n < 0 {
			return fmt.Errorf("--data-centre %s: the number of VMs is negative", name)
		}
		sum += n
	}
	for name, n := range c.TargetSlots {
		if n < 1 {
			return fmt.Errorf("--target-slots %s: want at least one slot", name)
		}
	}
	switch {
	case c.SmallestVMMB < 0 || c.VMs < 0:
		return errors.New("--smallest-vm-mb and --vms can't be negative")
	case c.VMs > 0 && len(c.DataCentre) > 0 && sum != c.VMs:
		return fmt.Errorf("--vms %d, but the data centres have %d", c.VMs, sum)
	case c.File == standardInput && c.Against == standardInput:
		return errors.New("the standard input can't be both configurations")
	}
	if c.VMs == 0 {
		c.VMs = sum
	}
	return nil
}

// checkResult is what check found.
type checkResult struct {
	File           string               `json:"file"`
	Format         string               `json:"format"`
	Findings       []routecheck.Finding `json:"findings"`
	Errors         int                  `json:"errors"`
	NeverMatches   int                  `json:"never_matches"`
	Contradictions int                  `json:"contradictions"`
	Against        string               `json:"against,omitempty"`
	// Compared is true if Changes holds all that differs. It is false without Against and
	// where a configuration can't be read.
	Compared bool                `json:"compared"`
	Changes  []routecheck.Change `json:"changes"`
}

// Run checks the configuration. It fails if there are errors.
func (c *checkCommand) Run(ctx context.Context, g *Globals) error {
	out, err := c.check(ctx, g)
	if err != nil {
		return &codedError{err, exitCheckUsage}
	}
	out.Errors = routecheck.Count(out.Findings, routecheck.Error)
	out.NeverMatches = routecheck.Count(out.Findings, routecheck.NeverMatches)
	out.Contradictions = routecheck.Count(out.Findings, routecheck.Contradiction)
	if err := g.show(out, func() { out.print(g) }); err != nil {
		return err
	}
	if out.Errors > 0 {
		return &codedError{fmt.Errorf("the configuration has %d errors", out.Errors), cli.ExitError}
	}
	return nil
}

func (c *checkCommand) check(ctx context.Context, g *Globals) (*checkResult, error) {
	text, err := c.read(c.File)
	if err != nil {
		return nil, err
	}
	if len(bytes.TrimSpace(text)) == 0 {
		return nil, fmt.Errorf("%s is empty", c.File)
	}
	out := &checkResult{File: c.File, Format: c.Format, Against: c.Against, Findings: []routecheck.Finding{}, Changes: []routecheck.Change{}}
	if out.Format == formatAuto {
		out.Format = formatOf(text)
	}
	if out.Format == formatSite {
		return out, c.checkSite(out, text)
	}
	if len(c.Overlay) > 0 {
		return nil, errors.New("--overlay is for the format site only")
	}
	return out, c.checkPlatform(ctx, g, out, text)
}

// formatOf tells JSON from TOML, which can't begin with a brace.
func formatOf(text []byte) string {
	if first := bytes.TrimSpace(text); len(first) > 0 && first[0] == '{' {
		return formatPlatform
	}
	return formatSite
}

func (c *checkCommand) deployment() routecheck.Deployment {
	return routecheck.Deployment{SmallestVMMB: c.SmallestVMMB, VMs: c.VMs, Slots: c.TargetSlots, DataCentres: c.DataCentre}
}

// checkPlatform checks a configuration of the platform.
func (c *checkCommand) checkPlatform(ctx context.Context, g *Globals, out *checkResult, text []byte) error {
	deployment := c.deployment()
	if c.Against == "" {
		_, found := configdoc.Inspect(text, deployment)
		out.Findings = append(out.Findings, found...)
		return nil
	}
	before, salt, err := c.inForce(ctx, g)
	if err != nil {
		return err
	}
	deployment.Version = &before.Configuration.Version
	checked, found := configdoc.Inspect(text, deployment)
	out.Findings = append(out.Findings, found...)
	if checked == nil {
		return nil
	}
	out.Compared = true
	out.Changes = append(out.Changes, routecheck.Diff(before, routecheck.NewView(checked, salt))...)
	return nil
}

// inForce reads the configuration in force, with its keys hashed.
func (c *checkCommand) inForce(ctx context.Context, g *Globals) (*routecheck.View, []byte, error) {
	if strings.HasPrefix(c.Against, "http://") || strings.HasPrefix(c.Against, "https://") {
		data, err := c.fetch(ctx, g)
		if err != nil {
			return nil, nil, err
		}
		return routecheck.ParseView(data)
	}
	text, err := c.read(c.Against)
	if err != nil {
		return nil, nil, err
	}
	decoded, err := configdoc.Decode(text)
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", c.Against, err)
	}
	salt := make([]byte, 32)
	if _, err := rand.Read(salt); err != nil {
		return nil, nil, fmt.Errorf("make salt: %w", err)
	}
	return routecheck.NewView(decoded.Config, salt), salt, nil
}

// fetch reads the configuration of a router.
func (c *checkCommand) fetch(ctx context.Context, g *Globals) ([]byte, error) {
	client, err := g.httpClient()
	if err != nil {
		return nil, err
	}
	url := strings.TrimSuffix(strings.TrimSuffix(c.Against, "/"), routecheck.ViewPath) + routecheck.ViewPath
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return nil, fmt.Errorf("read configuration of a router: %w", err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("read configuration of a router: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("read %s: status %d\n  next: set metrics.configuration = true at the router", url, resp.StatusCode)
	}
	return limited(url, resp.Body)
}

// checkSite checks documents of the project's own format.
func (c *checkCommand) checkSite(out *checkResult, base []byte) error {
	docs := configstate.Documents{}.With(configstate.Base, string(base))
	files := map[string]string{string(configstate.Base): c.File}
	for site, path := range c.Overlay {
		text, err := c.read(path)
		if err != nil {
			return err
		}
		scope := configstate.Overlay(fleet.Site(site))
		docs = docs.With(scope, string(text))
		files[string(scope)] = path
	}
	for _, f := range sitecheck.Check(docs, c.deployment()) {
		if file, ok := files[f.File]; ok {
			f.File = file
		}
		out.Findings = append(out.Findings, f)
	}
	if c.Against == "" {
		return nil
	}
	if strings.Contains(c.Against, "://") {
		return errors.New("--against takes a file for the format site; zfctl get prints the document in force")
	}
	text, err := c.read(c.Against)
	if err != nil {
		return err
	}
	if _, err := config.Decode(c.Against, text); err != nil {
		return err
	}
	before := configstate.Documents{}
	for _, scope := range docs.Scopes() {
		text, _ := docs.Text(scope)
		before = before.With(scope, text)
	}
	changes, whole := sitecheck.Diff(before.With(configstate.Base, string(text)), docs)
	out.Compared, out.Changes = whole, append(out.Changes, changes...)
	return nil
}

// read reads a file or the standard input.
func (c *checkCommand) read(path string) ([]byte, error) {
	if path == standardInput {
		in := c.stdin
		if in == nil {
			in = os.Stdin
		}
		return limited("standard input", in)
	}
	f, err := os.Open(filepath.Clean(path))
	if err != nil {
		return nil, fmt.Errorf("read configuration: %w", err)
	}
	defer f.Close() //nolint:errcheck // the file is only read
	return limited(path, f)
}

// limited reads at most maxCheckBytes.
func limited(name string, in io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(in, maxCheckBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read configuration: %w", err)
	}
	if len(data) > maxCheckBytes {
		return nil, fmt.Errorf("%s has more than %d MB", name, maxCheckBytes>>20)
	}
	return data, nil
}
