#!/usr/bin/env bash
# Builds what the scripts of the second review start, besides what the deploy file builds.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/chalkhubctl ./cmd/chalkhubctl
go build -o target/review-second ./review/stand-2
