#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# With trouble, a fifth of the clerks' clients leave; with TROUBLE=0 this is left out, and all else is the same.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/dotterelwell ] && [ -x target/lab3 ] || exit 2
trouble=with
[ "${TROUBLE:-1}" != 0 ] || trouble=without
exec target/lab3 gone review/13 "$trouble"
