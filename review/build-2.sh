#!/usr/bin/env bash
# Builds the stand-ins and clients of the second review's cases.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review2 -o target/review-2 ./review/drive2
