"""Settings of a router process."""

import msgspec


class Bounds(msgspec.Struct, frozen=True):
    """Times and amounts that the platform states, in seconds unless said.

    Attributes
    ----------
    grace : float
        Time between the request to stop and the kill.
    key_revocation : float
        Time after which a key taken away must not be served; zero if not strict.
    change_apply : float
        Time after which a change of the store must be in force everywhere.
    retry_ratio : float
        Repeats allowed for each request.
    retry_window : float
    retry_slack : float
        Repeats allowed besides, over all instances, in each window.
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
        ``host:port`` for callers and for the balancer's questions.
    peer_port : int
        Port for messages between routers; zero for none.
    store_address : str
        ``host:port`` of the platform's store.
    heartbeat : float
        Time between two signs of life of an upstream, in seconds.
    descriptors : int
        File descriptors that the process may hold.
    link_mbps : float
        Bandwidth of the instance's link.
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
    bounds: Bounds = Bounds()
