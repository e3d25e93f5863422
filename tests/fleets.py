"""Test tables with one model service and its runners."""

from wigeondrift.entities import Instance, InstanceState, Role
from wigeondrift.table.rows import LimitRow, ServiceKind, ServiceRow, Table
from wigeondrift.table.tables import Tables

SERVICE = "kokil-lm"
TEAM = "counters"


def make_tables(instances, layers, limit=None, version=""):
    tables = Tables()
    service = ServiceRow(ServiceKind.MODEL, layers=layers, version=version)
    limits = {f"{TEAM}/{SERVICE}": limit or LimitRow()}
    tables.table = Table(services_by_name={SERVICE: service}, limits_by_row=limits)
    tables.instances_by_id = {instance.instance_id: instance for instance in instances}
    tables.instances_revision = 1
    return tables


def make_runner(
    name, first_layer, end_layer, domain="rajkot", version="v1", state="live", slots=8
):
    return Instance(
        name,
        1,
        Role.RUNNER,
        f"{name}:1",
        domain,
        InstanceState(state),
        SERVICE,
        version,
        first_layer,
        end_layer,
        slots=slots,
    )
