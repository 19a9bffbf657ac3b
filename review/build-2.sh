#!/bin/sh
# Builds the stand-ins of the cases 4 to 8. They are Python programs, so there is nothing to compile: this checks that all of
# them can be read, without writing any file. The project's program is built by the build line of deploy/system.toml.
set -eu
cd "$(dirname "$0")"
python3 - <<'END'
import ast
for path in ["common-2/stand_ins.py"] + [f"{number}/case.py" for number in range(4, 9)]:
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
END
echo "the stand-ins of the cases 4 to 8 can be read"
