#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start; they need no packages of their own.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review/standins
