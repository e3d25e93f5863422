"""Runs the features, a few files at a time, and closes with a line of counts.

Arguments name features or directories; all features run when there are none.
"""

import concurrent.futures
import json
import subprocess
import sys
from pathlib import Path

from tests.one import RESULT_MARK

ROOT = Path(__file__).parent
KNOWN_RED = ROOT.parent / "KNOWN-RED.txt"
FILES_AT_ONCE = 3


def read_known_red():
    """Return the scenario names whose failure is on record."""
    names = set()
    for line in KNOWN_RED.read_text().splitlines():
        if line.startswith("scenario: "):
            names.add(line.removeprefix("scenario: ").strip())
    return names


def list_features(arguments):
    """Return the feature files, the largest first."""
    files = []
    for argument in arguments or [str(ROOT / "features")]:
        path = Path(argument)
        files.extend(path.glob("*.feature") if path.is_dir() else [path])
    return sorted(files, key=lambda file: (-file.stat().st_size, file.name))


def run_feature(file):
    """Run one file in a process of its own; return its results and output."""
    command = [sys.executable, "-m", "tests.one", str(file)]
    run = subprocess.run(
        command, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True
    )
    output, _, results = run.stdout.partition(RESULT_MARK)
    if not results:
        results = json.dumps([[file.name, "aborted", str(file)]])
    return json.loads(results), output


def main(arguments):
    passed, failed = 0, []
    known_red = read_known_red()
    with concurrent.futures.ThreadPoolExecutor(FILES_AT_ONCE) as pool:
        for results, output in pool.map(run_feature, list_features(arguments)):
            print(output, end="", flush=True)
            for name, status, place in results:
                if status == "passed":
                    passed += 1
                elif name in known_red:
                    print(f"known red: {name}")
                else:
                    failed.append((name, status, place))
    for name, status, place in failed:
        print(f"failed: {name} ({place}) {status}")
    print(f"{passed} passed, {len(failed)} failed")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
