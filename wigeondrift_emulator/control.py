"""Fault injection in the emulated runners by JSON commands."""

import enum

import msgspec

from wigeondrift_emulator.runner import Cluster, Runner


class Action(enum.StrEnum):
    """Fault to inject into a runner, or to end."""

    DIE = "die"
    DIE_AFTER = "die_after"
    REVIVE = "revive"
    FREEZE = "freeze"
    THAW = "thaw"
    SILENCE = "silence"
    DEGRADE = "degrade"
    CRASH_ON = "crash_on"
    CROSS = "cross"
    SKIP = "skip"
    LEAVE = "leave"
    STAY = "stay"


class ControlCommand(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Command to one emulated runner.

    Attributes
    ----------
    instance_id : str
        The runner.
    action : Action
    count : int
        Number of tokens before the runner dies or crashes, or for ``cross`` and
        ``skip`` the number of tokens affected.
    target : str
        Other end of the link to degrade: a runner, failure domain or accelerator
        type.
    seconds : float
        New one-way delay of the link, in seconds.
    marker : str
        Text in a prompt that crashes the runner; none if empty.
    """

    instance_id: str
    action: Action
    count: int = 0
    target: str = ""
    seconds: float = 0.0
    marker: str = ""


def apply_command(cluster: Cluster, command: ControlCommand) -> None:
    """Apply a command to its runner.

    Raises
    ------
    KeyError
        If no runner has this name.
    """
    runner = cluster.runners_by_id[command.instance_id]
    if command.action is Action.DEGRADE:
        cluster.links.set_seconds(command.instance_id, command.target, command.seconds)
    elif command.action is Action.CRASH_ON:
        runner.crash_marker = command.marker
        runner.crash_after_tokens = command.count
    elif command.action is Action.DIE_AFTER:
        runner.die_after_tokens = command.count
    elif command.action is Action.CROSS:
        runner.tokens_with_stray_events = command.count
    elif command.action is Action.SKIP:
        runner.tokens_skipping_stage = command.count
    elif command.action in {Action.LEAVE, Action.STAY}:
        runner.leaving = command.action is Action.LEAVE
    else:
        _SWITCHES_BY_ACTION[command.action](runner)


_SWITCHES_BY_ACTION = {
    Action.DIE: Runner.die,
    Action.REVIVE: Runner.revive,
    Action.FREEZE: Runner.freeze,
    Action.THAW: Runner.thaw,
    Action.SILENCE: Runner.silence,
}
