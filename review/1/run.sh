#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# With TROUBLE=0 no front is lost.
cd "$(dirname "$0")/../.." || exit 2
trouble=true
if [ "${TROUBLE:-1}" = 0 ]; then
  trouble=false
fi
exec review/bin/standins -case second-version -trouble=$trouble -program target/pomelospringd -record review/1/record.txt
