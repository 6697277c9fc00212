#!/usr/bin/env bash
# Plays the deployments that changes are measured against, on the users' bench: the
# standard days of each, then days with other luck. Run it in a clean clone.
#
#   tools/regress/regress.sh BENCH SITES [JOBS]
#
# BENCH is the bench's program and SITES the folder with the deployments. The two oldest
# deployments have been replaced by the large one; give OLD=1 to play them as well.
# SMALL=1 plays the small twins of the large days.
set -euo pipefail
bench=$1
sites=$2
jobs=${3:-3}

# Days to hunt on deployments of fewer than 60 machines, and of more.
small_days=40
large_days=8

play() {
  local site=$sites/$1 days=$2
  shift 2
  "$bench" score "$site" --jobs "$jobs" --why "regression" "$@"
  "$bench" hunt "$site" --days "$days" --jobs "$jobs" --why "regression"
}

twins=()
if [ -n "${SMALL:-}" ]; then
  twins=(--small)
fi

play further/lampwick-pos.toml "$small_days"
play further-grown/lampwick-pos-grown.toml "$large_days"
play grown/kellenplan-by-grown.toml "$large_days"
play grown/nilroll-lb-grown.toml "$large_days"
play large/kellenplan-by-large.toml "$large_days" "${twins[@]}"
if [ -n "${OLD:-}" ]; then
  play sites/kellenplan-by.toml "$small_days"
  play sites/nilroll-lb.toml "$small_days"
fi
