#!/usr/bin/env bash
# Builds what the scripts of the review start, besides the deploy file's own program.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-trial ./review/trial
