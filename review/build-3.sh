#!/bin/sh
# Prepares the scripts of review/11 to review/15. Their stand-ins are in Python (review/standin_3.py), with nothing but
# its standard library, so this only checks that the node was built and that the stand-ins compile.
set -e
cd "$(dirname "$0")/.."
test -x target/platform/mangohall-node
python3 - <<'PYTHON'
import glob
for path in ["review/standin_3.py", *sorted(glob.glob("review/1[1-5]/*.py"))]:
    compile(open(path).read(), path, "exec")
print("the stand-ins of the third review compile")
PYTHON
