package zfctl

import (
	"errors"

	"github.com/zinniafork/zinniafork/internal/config"
)

// named replaces the scopes in problems by the files that the operator named.
func named(err error, files map[string]string) (config.Problems, bool) {
	var problems config.Problems
	if !errors.As(err, &problems) {
		return nil, false
	}
	for _, p := range problems {
		if file, ok := files[p.File]; ok {
			p.File = file
		}
	}
	return problems, true
}
