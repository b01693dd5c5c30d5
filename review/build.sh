#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. The project's own program is built by the
# deploy file, into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o review/bin/stand ./review/stand
