"""Settings of a router process."""

import msgspec


class Bounds(msgspec.Struct, frozen=True):
    """Limits set by the platform; times are in seconds.

    Attributes
    ----------
    grace : float
        Time between the stop signal and the forced termination.
    key_revocation : float
        Time after which a revoked key must be refused; zero if not strict.
    change_apply : float
        Time after which a change in the store must be in force at all routers.
    retry_ratio : float
        Number of retries allowed per request.
    retry_window : float
        Window in which requests and retries are counted.
    retry_slack : float
        Additional retries allowed in each window, over all instances.
    """

    grace: float = 8.0
    key_revocation: float = 5.0
    change_apply: float = 2.0
    retry_ratio: float = 0.2
    retry_window: float = 10.0
    retry_slack: float = 0.0


class RouterSettings(msgspec.Struct, frozen=True):
    """Settings of one router process.

    Attributes
    ----------
    instance_id, failure_domain : str
    host : str
        Address of the instance.
    caller_address, ready_address : str
        ``host:port`` for callers and for the load balancer's readiness checks.
    peer_port : int
        Port for messages between routers; zero for none.
    store_address : str
        ``host:port`` of the platform's store.
    heartbeat : float
        Interval of an upstream's heartbeats, in seconds.
    descriptors : int
        Maximum number of open file descriptors.
    memory_mb : int
        Memory of the machine for this process, in MiB; zero for the default.
    link_mbps : float
        Bandwidth of the instance's link, in Mbit/s.
    bounds : Bounds
    """

    instance_id: str
    failure_domain: str
    host: str
    caller_address: str
    ready_address: str
    store_address: str
    peer_port: int = 0
    heartbeat: float = 1.2
    descriptors: int = 4096
    link_mbps: float = 0.0
    memory_mb: int = 0
    bounds: Bounds = Bounds()
