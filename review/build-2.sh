#!/bin/sh
# Builds the stand-ins of the second review, from the root of the repository, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p bin
exec go build -tags review2 -o bin/review-stand2 ./review/stand2
