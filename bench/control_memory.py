"""Prints how much memory an agent's control logic would add to an entry.

Run as ``python -m bench.control_memory``: the entry's modules are imported first, then
the agent's, then a table is applied. No other modules may be imported before that, so
this module is separate from the other benchmarks.

Known gap: the entry's modules are not imported yet, and ``with_control`` is read before
the agent's modules are imported, so both sizes are those of the bare interpreter.
"""

import json
import os
import random
import sys
from pathlib import Path


def read_anonymous_megabytes() -> float:
    """Return the anonymous memory of this process, in megabytes."""
    text = Path(f"/proc/{os.getpid()}/smaps_rollup").read_text()
    for line in text.splitlines():
        if line.startswith("Pss_Anon:"):
            return int(line.split()[1]) / 1024
    return 0.0


def main(teams: int, instances: int) -> None:
    """Print the memory after each step, in megabytes."""
    sizes = {"entry": read_anonymous_megabytes()}

    sizes["with_control"] = read_anonymous_megabytes()
    from wigeondrift.entities import Instance, Role
    from wigeondrift.systems.control import AgentControl
    from wigeondrift.table.rows import (
        LimitRow,
        ServiceKind,
        ServiceRow,
        Table,
        TeamRow,
        serialize_table,
    )

    limit_rows = {f"team-{team}/service": LimitRow() for team in range(teams)}
    team_rows = {f"team-{team}": TeamRow() for team in range(teams)}
    table = Table({"service": ServiceRow(ServiceKind.PLAIN)}, team_rows, limit_rows)
    agents = tuple(
        Instance(f"i-{i}", 1, Role.AGENT, f"10.0.0.{i}:1", "rajkot")
        for i in range(instances)
    )
    control = AgentControl("i-0", "rajkot", "10.0.0.0:1", 1, (), random.Random(1))
    control.replica.offer_table(1, serialize_table(table), 0.0)
    control.replica.offer_instances(1, agents)
    control.membership.add_listed_agents(agents, 0.0)
    sizes["with_state"] = read_anonymous_megabytes()
    rounded = {name: round(size, 2) for name, size in sizes.items()}
    print(json.dumps({"teams": teams, "instances": instances, **rounded}))


if __name__ == "__main__":
    main(*(int(argument) for argument in sys.argv[1:] or ("10", "40")))
