#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
# TROUBLE=0 leaves out the disruption.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
if [ ! -x target/pomelospringd ] || [ ! -x target/rig ]; then
  echo "build with the deploy file and review/build-2.sh first" >&2
  exit 2
fi
exec target/rig takeup "$folder"
