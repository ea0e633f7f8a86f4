package zfctl

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/jedib0t/go-pretty/v6/table"

	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/core/configstate"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/service/admin"
)

type validateCommand struct {
	Base    string            `arg:"" help:"File with the shared base." type:"existingfile"`
	Overlay map[string]string `help:"Overlay files, as SITE=FILE." placeholder:"SITE=FILE" mapsep:","`
}

// Run checks the files as publishing would.
func (c *validateCommand) Run(g *Globals) error {
	base, err := readFile(c.Base)
	if err != nil {
		return err
	}
	docs := configstate.Documents{}.With(configstate.Base, base)
	files := map[string]string{string(configstate.Base): c.Base}
	for site, path := range c.Overlay {
		text, err := readFile(path)
		if err != nil {
			return err
		}
		scope := configstate.Overlay(fleet.Site(site))
		docs = docs.With(scope, text)
		files[string(scope)] = path
	}
	err = config.Check(docs, "")
	if problems, ok := named(err, files); ok {
		if g.JSON {
			_ = g.show(problems, nil)
		}
		return &codedError{problems, ExitRefused}
	}
	if err != nil {
		return err
	}
	return g.show(struct {
		Valid bool `json:"valid"`
	}{true}, func() { g.printf("configuration is valid: sites %s\n", join(config.SitesOf(docs), 20)) })
}

func readFile(path string) (string, error) {
	data, err := os.ReadFile(filepath.Clean(path))
	if err != nil {
		return "", fmt.Errorf("read configuration: %w", err)
	}
	return string(data), nil
}

type getCommand struct {
	Scope   string  `arg:"" optional:"" default:"base" predictor:"scope" help:"Document: base or site/NAME."`
	Version *uint64 `help:"Version to read, by its offset." placeholder:"OFFSET"`
}

// Run prints the document.
func (c *getCommand) Run(ctx context.Context, g *Globals) error {
	doc, err := get[admin.Document](ctx, g, admin.PathDocument,
		admin.DocumentQuery{Scope: configstate.Scope(c.Scope), Version: c.Version})
	if err != nil {
		return err
	}
	return g.show(doc, func() { g.printf("%s%d\n%s", seenPrefix, doc.Version.Version.Offset, doc.Text) })
}

// seenPrefix begins the line that get puts in front of a document: publish takes
// it off again and refuses a document that has changed since.
const seenPrefix = "# zfctl: taken from version "

// splitSeen takes the line off a text.
func splitSeen(text string) (rest string, seen *uint64) {
	line, after, _ := strings.Cut(text, "\n")
	number, ok := strings.CutPrefix(line, seenPrefix)
	if !ok {
		return text, nil
	}
	offset, err := strconv.ParseUint(strings.TrimSpace(number), 10, 64)
	if err != nil {
		return text, nil
	}
	return after, &offset
}

type renderCommand struct {
	Site    string  `help:"Site; the router's own by default." predictor:"site"`
	Version *uint64 `help:"Version to show, by its offset." placeholder:"OFFSET"`
	Key     string  `help:"Show only values whose key contains this text." placeholder:"TEXT"`
}

// Run prints the values with their origins.
func (c *renderCommand) Run(ctx context.Context, g *Globals) error {
	e, err := get[admin.Effective](ctx, g, admin.PathEffective,
		admin.EffectiveQuery{Site: fleet.Site(c.Site), Version: c.Version})
	if err != nil {
		return err
	}
	return g.show(e, func() {
		g.printf("site %s, version %s, rules %s\n", e.Site, versionText(e.Version.Version), e.RulesHash)
		var rows []table.Row
		for _, v := range e.Values {
			if strings.Contains(v.Key, c.Key) {
				rows = append(rows, table.Row{v.Key, v.Value, originText(v.Origin)})
			}
		}
		g.table(table.Row{"Key", "Value", "Origin"}, rows)
	})
}

func originText(o config.Origin) string {
	if o.Line == 0 {
		return o.File
	}
	return fmt.Sprintf("%s:%d", o.File, o.Line)
}

type diffCommand struct {
	From uint64  `arg:"" help:"Older version, by its offset."`
	To   *uint64 `arg:"" optional:"" help:"Newer version; the newest by default."`
}

// Run prints the differences.
func (c *diffCommand) Run(ctx context.Context, g *Globals) error {
	d, err := get[admin.Diff](ctx, g, admin.PathDiff, admin.DiffQuery{From: c.From, To: c.To})
	if err != nil {
		return err
	}
	return g.show(d, func() {
		g.printf("from version %s by %s to version %s by %s\n",
			versionText(d.From.Version), d.From.Author, versionText(d.To.Version), d.To.Author)
		for _, doc := range d.Documents {
			g.printf("\n%s", doc.Unified)
		}
		g.printf("\n")
		g.changes(d.Changes, len(d.Changes))
	})
}

type historyCommand struct {
	Limit int `help:"Number of versions." default:"20"`
}

// Run prints the versions, the newest first.
func (c *historyCommand) Run(ctx context.Context, g *Globals) error {
	h, err := get[admin.History](ctx, g, admin.PathHistory, admin.HistoryQuery{Limit: c.Limit})
	if err != nil {
		return err
	}
	return g.show(h, func() {
		var rows []table.Row
		for _, e := range h.Versions {
			rows = append(rows, table.Row{versionText(e.Version), timeText(e.At), e.Scope, e.Author, dash(e.Comment)})
		}
		g.table(table.Row{"Version", "Published", "Document", "Author", "Comment"}, rows)
	})
}

type outcomeCommand struct {
	Nonce string `arg:"" help:"Nonce that publish printed."`
}

// Run prints what became of a publication.
func (c *outcomeCommand) Run(ctx context.Context, g *Globals) error {
	p, err := get[admin.Publication](ctx, g, admin.PathPublication, admin.PublicationQuery{Nonce: c.Nonce})
	if err != nil {
		return err
	}
	if err := g.show(p, func() {
		switch p.State {
		case "accepted":
			g.printf("accepted as version %s\n", versionText(p.Entry.Version))
		case "refused":
			g.printf("refused: %s\n", p.Reason)
		default:
			g.printf("not seen in the log yet; ask again once the log can be read\n")
		}
	}); err != nil {
		return err
	}
	if p.State == "accepted" {
		return nil
	}
	code := ExitRefused
	if p.State == "unknown" {
		code = ExitPending
	}
	return &codedError{fmt.Errorf("the publication is %s", p.State), code}
}

type keyCommand struct {
	New keyNewCommand `cmd:"" help:"Make a key and the hash that goes into the configuration."`
}

type keyNewCommand struct{}

// keyBytes is the length of a new key before encoding.
const keyBytes = 32

// newKey is a key with its hash.
type newKey struct {
	Key  string `json:"key"`
	Hash string `json:"hash"`
}

// Run prints a random key and its hash.
func (*keyNewCommand) Run(g *Globals) error {
	raw := make([]byte, keyBytes)
	if _, err := rand.Read(raw); err != nil {
		return fmt.Errorf("make key: %w", err)
	}
	k := newKey{Key: base64.RawURLEncoding.EncodeToString(raw)}
	sum := sha256.Sum256([]byte(k.Key))
	k.Hash = hex.EncodeToString(sum[:])
	return g.show(k, func() {
		g.printf("key   %s\nhash  %s\n", k.Key, k.Hash)
		g.note("Give the key to its holder alone and put the hash into key_hashes.")
	})
}
