#!/bin/sh
# Builds the stand-ins that the scripts of the review start. They use the standard library only.
set -e
cd "$(dirname "$0")/rig"
mkdir -p ../../target
GOWORK=off GOFLAGS=-mod=mod GOTOOLCHAIN=local go build -o ../../target/review-rig .
