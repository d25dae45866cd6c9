#!/usr/bin/env bash
# Builds what the cases start beside the controllers. It needs nothing but the Go toolchain.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/standin
