#!/usr/bin/env bash
# Builds the stand-ins and clients of the review's scripts, the project's own store among them.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-drive ./review/drive
