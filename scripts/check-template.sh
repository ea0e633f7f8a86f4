#!/usr/bin/env bash
# Fills in the settings template as the platform does and checks the result, with and without the
# values that only some deployments have. A section {{#NAME}}...{{/NAME}} stays if there is a value,
# which is {{.}} in it.
set -euo pipefail
cd "$(dirname "$0")/.."

dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT

# fill SECTIONS fills in the template; SECTIONS is a sed script for its sections.
fill() {
  sed -E -e "$1" \
    -e 's/\{\{Limits.MemoryMb\}\}/184/; s/\{\{Limits.MaxFds\}\}/4100/' \
    -e 's/\{\{Listen.Control\}\}/10.1.0.40:8229/g; s/\{\{Listen.Front\}\}/10.1.0.40:8227/g' \
    -e 's/\{\{Listen.Ready\}\}/10.1.0.40:8220/; s/\{\{Listen.Directory\}\}/10.1.0.40:8224/' \
    -e 's/\{\{Zone\}\}/pos/; s/\{\{Region\}\}/tt-north/; s/\{\{Ip\}\}/10.1.0.40/; s/\{\{InternalPorts.0\}\}/7340/' \
    -e 's/\{\{Seeds\|json\}\}/["10.1.0.40:8229"]/; s/\{\{Platform.Addr\}\}/10.200.1.7:8223/' \
    -e 's/\{\{Contracts\|json\}\}/["base","pressure","rollout"]/' \
    -e 's/\{\{Limits.CpuShare\}\}/0.4/; s/\{\{Bootstrap\}\}/true/g' \
    -e 's/\{\{Bounds.BudgetRatio\}\}/0.2/; s/\{\{Bounds.BudgetSlack\}\}/58/; s/\{\{Bounds.BudgetWindowS\}\}/10/' \
    -e 's/\{\{Bounds.StableWindowMs\}\}/4000/' \
    deploy/router.toml.in >"$dir/router.toml"
  if grep -n '{{' "$dir/router.toml"; then
    echo "a placeholder is not known here"
    exit 1
  fi
  go run ./cmd/zf-router --check "$dir/router.toml"
}

fill 's/\{\{#([^}]*)\}\}.*\{\{\/\1\}\}//'
fill '/\{\{#Bounds.ExposeShare\}\}/s/\{\{\.\}\}/0.1/; /\{\{#Bounds.ExposeSlack\}\}/s/\{\{\.\}\}/50/
/\{\{#Bounds.RollbackMs\}\}/s/\{\{\.\}\}/5000/; s/\{\{#([^}]*)\}\}(.*)\{\{\/\1\}\}/\2/'
