"""Entities that the tables hold and the systems operate on."""

import enum

import msgspec


class Role(enum.StrEnum):
    """Role of an instance in the platform's list."""

    AGENT = "agent"
    RUNNER = "runner"
    SERVICE = "service"


class InstanceState(enum.StrEnum):
    """State of an instance in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class Instance(msgspec.Struct, frozen=True, omit_defaults=True):
    """Machine in the platform's list, either an instance of this system or an upstream.

    Attributes
    ----------
    instance_id : str
        Name assigned by the platform; unique among live instances.
    incarnation : int
        Increases with each start under the same name.
    role : Role
    address : str
        ``host:port``; for an agent, where it receives messages of its peers.
    failure_domain : str
        Failure domain of the instance.
    state : InstanceState
        Whether the instance accepts new work.
    service : str
        Name of the instance's service; empty for an agent.
    version : str
        Model version held by a runner.
    first_layer, end_layer : int
        Range of layers held by a runner, the end excluded.
    kind : str
        Kind of accelerator.
    slots : int
        Maximum number of concurrent requests.
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
    """Load reported by an upstream about itself; it lags behind the actual load.

    Attributes
    ----------
    instance_id : str
        Reporting upstream.
    running, queued : int
        Requests in its slots, and requests waiting for a slot.
    token_seconds : float
        Time per token in the stage, in seconds; zero if unknown.
    """

    instance_id: str
    running: int
    queued: int
    token_seconds: float = 0.0


class Stage(msgspec.Struct, frozen=True):
    """Step of a route: a runner and the layers that it runs.

    Attributes
    ----------
    instance_id, address : str
        Name and ``host:port`` of the runner.
    first_layer, end_layer : int
        Range of layers to run, the end excluded.
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
        """Names of the runners in layer order."""
        return tuple(stage.instance_id for stage in self.stages)
