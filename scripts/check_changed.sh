#!/bin/bash
# Checks the C sources that differ from HEAD, untracked ones included: formatting, linter, word counts and file length.
# As a hook (ln -s ../../scripts/check_changed.sh .git/hooks/pre-commit), or with --staged, it checks the staged sources.
# The linter needs the build folder (build, or $BUILD) with compile_commands.json; a missing folder, or a source that
# compile_commands.json does not list, is reported as an error.
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
# The tools read the working tree, so a staged file that was edited afterwards differs from what is committed.
if [ $staged = yes ] && [ ${#sources[@]} -gt 0 ] && ! git diff --quiet -- "${sources[@]}"; then
  git diff --name-only -- "${sources[@]}" >&2
  echo "the files above were changed after they were staged: stage the changes or stash them" >&2
  bad=1
fi
if [ ${#sources[@]} -gt 0 ] && ! clang-format --dry-run --Werror "${sources[@]}"; then
  echo "formatting differs in the lines above: run clang-format -i" >&2
  bad=1
fi
if [ ${#units[@]} -gt 0 ]; then
  for unit in "${units[@]}"; do
    if ! grep -qF "\"file\": \"$PWD/$unit\"" "$build/compile_commands.json"; then
      echo "$unit: not listed in $build/compile_commands.json; run cmake again" >&2
      bad=1
    fi
  done
  scripts/lint.py "$build" --jobs 3 "${units[@]}" || bad=1
fi
scripts/readable.py || bad=1
exit $bad
