#!/bin/sh
# Builds what the cases start, from the root of the repository. It needs no network once the
# modules of the build of deploy/service.toml are there.
set -eu
cd "$(dirname "$0")/.."
go build -o target/chalkhubctl ./cmd/chalkhubctl
for case in review/[1-3]; do
	go build -o "target/review-$(basename "$case")" "./$case"
done
