from behave import given, step, then, when

from tests.control_plane import ROW, ControlPlane
from tests.processes import wait_until
from wigeondrift.entities import Instance, InstanceState, Role
from wigeondrift.table.rows import LimitRow, Table


@given("a platform with {count:d} agents and an entry's link to each")
def start_control_plane(context, count):
    context.plane = ControlPlane()
    context.cleanups = [*getattr(context, "cleanups", []), context.plane.close]
    context.plane.start(count)


@step("the operators write the table with a limit of {limit:d}")
def write_table(context, limit):
    context.plane.write_table(limit)


@step("every agent and every link has the limit of {limit:d} in force")
def check_limit_everywhere(context, limit):
    context.plane.wait_for_all(limit)


@when("agent {index:d} is disconnected from the platform")
def disconnect_agent(context, index):
    address = context.plane.platform_addresses[index]
    context.plane.control("/control", {"down_by_caller": {address: "hang"}})


@when("the platform goes down")
def take_platform_down(context):
    context.plane.control("/control", {"down": "hang"})


@when("agent {index:d} is killed and started again")
def restart_agent(context, index):
    context.plane.restart_agent(index)


@when("agent {index:d} is killed")
def kill_agent(context, index):
    context.plane.agents[index].kill()


@given('an upstream "{name}" that every link sees as live')
def add_upstream(context, name):
    upstream = Instance(name, 1, Role.RUNNER, "127.0.0.1:9", "nowhere")
    context.plane.set_instances(upstream)
    for link in context.plane.links:
        wait_for_state(link, name, InstanceState.LIVE)


def wait_for_state(link, name, state):
    def is_in_state():
        instance = link.agent_session.tables.instances_by_id.get(name)
        return instance is not None and instance.state is state

    wait_until(is_in_state, f"{name} is {state}")


@when('link {index:d} reports that "{name}" is leaving')
def report_leaving(context, index, name):
    link = context.plane.links[index]
    context.plane.run_on_link_thread(link.report_leaving, name, 1)


@then('every link sees "{name}" as leaving')
def check_leaving(context, name):
    for link in context.plane.links:
        wait_for_state(link, name, InstanceState.LEAVING)


@then("link {index:d} detects that its agent is lost")
def check_agent_lost(context, index):
    wait_until(lambda: context.plane.links[index].agent_lost, "the agent is lost")


@then("link {index:d} has the limit of {limit:d} in force")
def check_link(context, index, limit):
    context.plane.wait_for_link(index, limit)


@when('link {index:d} reports that "{fingerprint}" is quarantined')
def report_quarantined(context, index, fingerprint):
    context.plane.run_on_link_thread(
        context.plane.links[index].report_quarantine, fingerprint
    )


@then('every link refuses "{fingerprint}"')
def check_quarantined(context, fingerprint):
    for link in context.plane.links:
        tables = link.agent_session.tables
        wait_until(lambda t=tables: fingerprint in t.quarantined, fingerprint)


@when("a table that names no service of its limit is written")
def write_bad_table(context):
    context.plane.write(Table(limits_by_row={ROW: LimitRow()}))


@then("every agent logs that it refused a table")
def check_refused(context):
    for agent in context.plane.agents:
        agent.wait_for_event("table_refused")


@when("link 0 demands {first:d} concurrent requests and the others {others:d}")
def set_uneven_demand(context, first, others):
    context.demanded_requests = [first] + [others] * (len(context.plane.links) - 1)


@then("link 0 may run more than {least:d} and all together at most {limit:d}")
def check_borrowed_share(context, least, limit):
    plane = context.plane

    def has_borrowed_share():
        for link, running in zip(plane.links, context.demanded_requests, strict=True):
            plane.run_on_link_thread(link.report_demand, ROW, running, 0.0, running)
        limits = plane.run_on_link_thread(plane.list_running_limits)
        assert sum(limits) <= limit, limits
        return limits[0] > least

    wait_until(has_borrowed_share, f"link 0 may run more than {least}")


@when("agent {index:d} is paused")
def pause_agent(context, index):
    context.plane.agents[index].pause()


@when("agent {index:d} is resumed")
def resume_agent(context, index):
    context.plane.agents[index].resume()


@then('agent {index:d} logs "{event}"')
def check_logged(context, index, event):
    context.plane.agents[index].wait_for_event(event)


@then("link {index:d} receives messages of its agent again")
def check_agent_back(context, index):
    wait_until(lambda: not context.plane.links[index].agent_lost, "the agent is back")
