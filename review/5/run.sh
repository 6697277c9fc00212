#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# TROUBLE=0 runs it without the disruption. Needs the build of deploy/system.toml and
# review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/standin ] && [ -x target/cwnode ] || exit 2
exec target/standin --case late-write --folder review/5 --binary target/cwnode
