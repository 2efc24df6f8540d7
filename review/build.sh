#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, into target/review/. It needs
# Go and no network: the module has no dependencies.
set -eu
cd "$(dirname "$0")"
go build -o ../target/review/ ./standin
