"""Runs one feature file and prints the results of its scenarios as JSON at the end."""

import json
import sys

from behave.configuration import Configuration
from behave.runner import Runner

RESULT_MARK = "\nresults: "


def main(path):
    options = ["--format", "progress3", "--no-capture-hooks", path]
    runner = Runner(Configuration(options, load_config=False))
    has_exited_unexpectedly = runner.run()
    results = [
        [scenario.name, scenario.status.name, str(scenario.location)]
        for feature in runner.features
        for scenario in feature.walk_scenarios()
    ]
    if has_exited_unexpectedly and all(status == "passed" for _, status, _ in results):
        results.append([path, "aborted", path])
    print(RESULT_MARK + json.dumps(results), flush=True)


if __name__ == "__main__":
    main(sys.argv[1])
