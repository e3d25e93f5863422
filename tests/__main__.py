"""Runs the features and closes with a line of counts.

Arguments name features or directories; all features run when there are none.
"""

import sys
from pathlib import Path

from behave.configuration import Configuration
from behave.model_type import Status
from behave.runner import Runner

ROOT = Path(__file__).parent
KNOWN_RED = ROOT.parent / "KNOWN-RED.txt"


def read_known_red() -> set[str]:
    """Return the scenario names whose failure is on record."""
    names = set()
    for line in KNOWN_RED.read_text().splitlines():
        if line.startswith("scenario: "):
            names.add(line.removeprefix("scenario: ").strip())
    return names


def main(arguments: list[str]) -> int:
    paths = arguments or [str(ROOT / "features")]
    options = ["--format", "progress3", "--no-capture-hooks", *paths]
    runner = Runner(Configuration(options, load_config=False))
    aborted = runner.run()
    passed, failed, red = [], [], []
    known_red = read_known_red()
    for feature in runner.features:
        for scenario in feature.walk_scenarios():
            if scenario.status is Status.passed:
                passed.append(scenario)
            elif scenario.name in known_red:
                red.append(scenario)
            else:
                failed.append(scenario)
    for scenario in red:
        print(f"known red: {scenario.name}")
    for scenario in failed:
        print(f"failed: {scenario.name} ({scenario.location}) {scenario.status.name}")
    print(f"{len(passed)} passed, {len(failed)} failed")
    broken = aborted and not (failed or red)
    return 1 if failed or broken or not passed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
