#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start. The project's own
# program is built by the deploy file's build.
set -eu
cd "$(dirname "$0")/.."
go build -tags review -o target/review-stand2 ./review/stand2
