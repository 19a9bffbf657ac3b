#!/bin/bash
# Looks at the C sources that are changed against HEAD, new ones included: the formatter, the linter, the counted words
# and long files. As a hook (ln -s ../../scripts/check_changed.sh .git/hooks/pre-commit), or with --staged, it looks
# at those that are staged. The linter needs the build folder (build, or $BUILD) with compile_commands.json; where a
# source is not in there yet, or the folder is not there, that is said and fails.
set -uo pipefail
cd "$(git rev-parse --show-toplevel)"
build=${BUILD:-build}
staged=no
if [ "${1:-}" = --staged ] || [ "$(basename "$0")" = pre-commit ]; then
  staged=yes
elif [ $# -gt 0 ]; then
  echo "usage: check_changed.sh [--staged]" >&2
  exit 2
fi

changed() { # PATTERN...
  if [ $staged = yes ]; then
    git diff --cached --name-only --diff-filter=d -z -- "$@"
  else
    git diff HEAD --name-only --diff-filter=d -z -- "$@"
    git ls-files --others --exclude-standard -z -- "$@"
  fi
}

mapfile -d '' -t sources < <(changed '*.c' '*.h')
mapfile -d '' -t units < <(changed '*.c')
bad=0
# what is looked at is what lies in the folder: a staged file that was changed since is not what is committed
if [ $staged = yes ] && [ ${#sources[@]} -gt 0 ] && ! git diff --quiet -- "${sources[@]}"; then
  git diff --name-only -- "${sources[@]}" >&2
  echo "the files above are staged and were changed since: add them, or stash the rest" >&2
  bad=1
fi
if [ ${#sources[@]} -gt 0 ] && ! clang-format --dry-run --Werror "${sources[@]}"; then
  echo "clang-format -i lays the lines above out" >&2
  bad=1
fi
if [ ${#units[@]} -gt 0 ]; then
  for unit in "${units[@]}"; do
    if ! grep -qF "\"file\": \"$PWD/$unit\"" "$build/compile_commands.json"; then
      echo "$unit: not in $build/compile_commands.json, which cmake writes" >&2
      bad=1
    fi
  done
  scripts/lint.py "$build" --jobs 3 "${units[@]}" || bad=1
fi
scripts/readable.py || bad=1
exit $bad
