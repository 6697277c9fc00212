#!/usr/bin/env bash
# Builds the stand-ins of the cases in review/REPORT-3.md that are scripts. The programs of the
# system are built as deploy/system.toml says.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/ ./review/standin-3
