#!/usr/bin/env bash
# Builds the stand-ins of the cases. Run it after the build command of deploy/balancer.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
CGO_ENABLED=1 go build -tags review -o review/bin/ ./review/cases
