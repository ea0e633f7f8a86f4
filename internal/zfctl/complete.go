package zfctl

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kong"
	"github.com/posener/complete"
	"github.com/willabides/kongplete"

	"github.com/zinniafork/zinniafork/internal/service/admin"
)

// completionLimit bounds the wait of a shell for names.
const completionLimit = 2 * time.Second

// Complete answers the shell when it asks for completions. Names come from the
// routers of ZF_ROUTERS.
func Complete(parser *kong.Kong) {
	kongplete.Complete(parser,
		kongplete.WithPredictor("file", complete.PredictFiles("*")),
		kongplete.WithPredictor("scope", names(scopes)),
		kongplete.WithPredictor("site", names(sites)),
		kongplete.WithPredictor("name", names(markableNames)),
		kongplete.WithPredictor("account", names(accountNames)),
		kongplete.WithPredictor("model", names(servedNames("model"))),
		kongplete.WithPredictor("service", names(servedNames("service"))),
	)
}

// names asks a router for names and gives none when that fails.
func names(list func(ctx context.Context, g *Globals) ([]string, error)) complete.Predictor {
	return complete.PredictFunc(func(complete.Args) []string {
		g := &Globals{KeyFile: os.Getenv("ZF_KEY_FILE"), CAFile: os.Getenv("ZF_CA_FILE")}
		if routers := os.Getenv("ZF_ROUTERS"); routers != "" {
			g.Router = strings.Split(routers, ",")
		}
		ctx, cancel := context.WithTimeout(context.Background(), completionLimit)
		defer cancel()
		out, err := list(ctx, g)
		if err != nil {
			return nil
		}
		return out
	})
}

func scopes(ctx context.Context, g *Globals) ([]string, error) {
	info, err := get[admin.ConfigInfo](ctx, g, admin.PathConfig, nil)
	if err != nil {
		return nil, err
	}
	return texts(info.Scopes), nil
}

func sites(ctx context.Context, g *Globals) ([]string, error) {
	info, err := get[admin.ConfigInfo](ctx, g, admin.PathConfig, nil)
	if err != nil {
		return nil, err
	}
	return texts(info.Sites), nil
}

func markableNames(ctx context.Context, g *Globals) ([]string, error) {
	status, err := get[admin.Status](ctx, g, admin.PathStatus, nil)
	if err != nil {
		return nil, err
	}
	var out []string
	for _, d := range status.DataCentres {
		out = append(out, string(d.Name))
	}
	for _, r := range status.Routers {
		out = append(out, string(r.VM))
	}
	targets, err := get[admin.Targets](ctx, g, admin.PathTargets, nil)
	if err != nil {
		return nil, err
	}
	for _, t := range targets.Targets {
		out = append(out, string(t.Name))
	}
	return out, nil
}

func accountNames(ctx context.Context, g *Globals) ([]string, error) {
	accounts, err := get[admin.Accounts](ctx, g, admin.PathAccounts, nil)
	if err != nil {
		return nil, err
	}
	var out []string
	for _, a := range accounts.Accounts {
		out = append(out, string(a.Name))
	}
	return out, nil
}

func servedNames(kind string) func(ctx context.Context, g *Globals) ([]string, error) {
	return func(ctx context.Context, g *Globals) ([]string, error) {
		status, err := get[admin.Status](ctx, g, admin.PathStatus, nil)
		if err != nil {
			return nil, err
		}
		var out []string
		for _, c := range status.Capacity {
			if c.Kind == kind {
				out = append(out, c.Name)
			}
		}
		return out, nil
	}
}

func texts[T ~string](in []T) []string {
	out := make([]string, 0, len(in))
	for _, t := range in {
		out = append(out, string(t))
	}
	return out
}

type completionCommand struct {
	Shell string `arg:"" enum:"bash,zsh,fish" help:"bash, zsh or fish."`
}

// Run prints the line for the shell's start file.
func (c *completionCommand) Run(g *Globals) error {
	path, err := os.Executable()
	if err != nil {
		return fmt.Errorf("find zfctl: %w", err)
	}
	switch c.Shell {
	case "bash":
		g.printf("complete -C %s zfctl\n", path)
	case "zsh":
		g.printf("autoload -U +X bashcompinit && bashcompinit\ncomplete -C %s zfctl\n", path)
	case "fish":
		g.printf("complete -c zfctl -f -a '(env COMP_LINE=(commandline -cp) %s)'\n", path)
	}
	return nil
}
