#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
timeout --kill-after=2 117 python3 case.py
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
