"""Entities that the tables hold and the systems run over."""

import enum

import msgspec


class Role(enum.StrEnum):
    """What an instance of the platform's list does."""

    AGENT = "agent"
    RUNNER = "runner"
    SERVICE = "service"


class InstanceState(enum.StrEnum):
    """State of an instance in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class Instance(msgspec.Struct, frozen=True, omit_defaults=True):
    """One machine of the platform's list: one of ours or an upstream.

    Attributes
    ----------
    instance_id : str
        Name that the platform gives; unique among live instances.
    incarnation : int
        Grows with each start under the same name.
    role : Role
        What it does.
    address : str
        ``host:port``; of an agent, where it takes messages of its peers.
    failure_domain : str
        Failure domain that it is in.
    state : InstanceState
        Whether it takes new work.
    service : str
        Name of the service it belongs to; empty for an agent.
    version : str
        Model version that a runner holds.
    first_layer, end_layer : int
        Range of layers that a runner holds, the end excluded.
    kind : str
        Kind of accelerator.
    slots : int
        Requests that it runs at once.
    """

    instance_id: str
    incarnation: int
    role: Role
    address: str
    failure_domain: str
    state: InstanceState = InstanceState.LIVE
    service: str = ""
    version: str = ""
    first_layer: int = 0
    end_layer: int = 0
    kind: str = ""
    slots: int = 1


class LoadReport(msgspec.Struct, frozen=True):
    """Load that an upstream reports of itself, some time after the fact.

    Attributes
    ----------
    instance_id : str
        The upstream.
    running, queued : int
        Requests in its slots and waiting for one.
    token_seconds : float
        Time that one token takes in the stage, in seconds; zero if unknown.
    """

    instance_id: str
    running: int
    queued: int
    token_seconds: float = 0.0


class Stage(msgspec.Struct, frozen=True):
    """One step of a route: a runner and the layers it is to run.

    Attributes
    ----------
    instance_id, address : str
        The runner and its ``host:port``.
    first_layer, end_layer : int
        Layers to run, the end excluded.
    """

    instance_id: str
    address: str
    first_layer: int
    end_layer: int


class Route(msgspec.Struct, frozen=True):
    """Exact cover of a model's layers by stages of one model version."""

    version: str
    stages: tuple[Stage, ...]

    @property
    def instance_ids(self) -> tuple[str, ...]:
        """Names of the runners in the order of their layers."""
        return tuple(stage.instance_id for stage in self.stages)
