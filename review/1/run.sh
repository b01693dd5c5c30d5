#!/usr/bin/env bash
# Runs the case; see claim.txt. Needs the build of the deploy file and review/build.sh.
set -uo pipefail
cd "$(dirname "$0")/../.."
if [ ! -x target/fernlink ] || [ ! -x review/bin/stand ]; then
  echo "build first: the deploy file's build, then review/build.sh" >&2
  exit 2
fi
exec review/bin/stand deep review/1
