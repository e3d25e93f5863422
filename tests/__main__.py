"""Test runner: runs the feature files in parallel and prints a final count line.

The arguments are feature files or directories; without arguments, all features run.
"""

import concurrent.futures
import json
import subprocess
import sys
from pathlib import Path

from tests.one import RESULT_MARK

ROOT = Path(__file__).parent
KNOWN_FAILURES_FILE = ROOT.parent / "KNOWN-RED.txt"
MAX_PARALLEL_FILES = 3
# Features that measure whole processes; each runs by itself after the others.
EXCLUSIVE_FEATURES = frozenset({"body_limits.feature"})


def read_known_failures():
    """Return the names of the scenarios that are listed as known failures."""
    names = set()
    for line in KNOWN_FAILURES_FILE.read_text().splitlines():
        if line.startswith("scenario: "):
            names.add(line.removeprefix("scenario: ").strip())
    return names


def list_features(arguments):
    """Return the feature files to run, the largest first."""
    files = []
    for argument in arguments or [str(ROOT / "features")]:
        path = Path(argument)
        files.extend(path.glob("*.feature") if path.is_dir() else [path])
    return sorted(files, key=lambda file: (-file.stat().st_size, file.name))


def run_feature(file):
    """Run one file in its own process and return its results and its output."""
    command = [sys.executable, "-m", "tests.one", str(file)]
    completed = subprocess.run(
        command, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True
    )
    output, _, results = completed.stdout.partition(RESULT_MARK)
    if not results:
        results = json.dumps([[file.name, "aborted", str(file)]])
    return json.loads(results), output


def run_features(files):
    """Yield results and output of each file, the exclusive ones last."""
    exclusive = [file for file in files if file.name in EXCLUSIVE_FEATURES]
    others = [file for file in files if file not in exclusive]
    with concurrent.futures.ThreadPoolExecutor(MAX_PARALLEL_FILES) as pool:
        yield from pool.map(run_feature, others)
    yield from map(run_feature, exclusive)


def main(arguments):
    passed, failed = 0, []
    known_failures = read_known_failures()
    for results, output in run_features(list_features(arguments)):
        print(output, end="", flush=True)
        for name, status, location in results:
            if status == "passed":
                passed += 1
            elif name.strip() in known_failures:
                print(f"known red: {name}")
            else:
                failed.append((name, status, location))
    for name, status, location in failed:
        print(f"failed: {name} ({location}) {status}")
    print(f"{passed} passed, {len(failed)} failed")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
