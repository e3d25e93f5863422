"""Tables with runners for scenarios of routing."""

from wigeondrift.entities import Instance, InstanceState, Role
from wigeondrift.table.rows import LimitRow, ServiceKind, ServiceRow, Table
from wigeondrift.table.tables import Tables

SERVICE = "kokil-lm"
TEAM = "counters"


def make_tables(instances, layers, row=None, version=""):
    tables = Tables()
    service = ServiceRow(ServiceKind.MODEL, layers=layers, version=version)
    limits = {f"{TEAM}/{SERVICE}": row or LimitRow()}
    tables.table = Table(services_by_name={SERVICE: service}, limits_by_row=limits)
    tables.instances_by_id = {one.instance_id: one for one in instances}
    tables.instances_revision = 1
    return tables


def make_runner(name, first, end, domain="rajkot", version="v1", state="live", slots=8):
    return Instance(
        name,
        1,
        Role.RUNNER,
        f"{name}:1",
        domain,
        InstanceState(state),
        SERVICE,
        version,
        first,
        end,
        slots=slots,
    )
