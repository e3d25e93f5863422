"""Contract of what runners tell and take besides requests."""

import abc

from wigeondrift.router.entities import RunnerReport, Upstream


class RunnerControl(abc.ABC):
    """Reports and orders of runners.

    Each call may raise ``TransportError``, after which an order may still be
    carried out, or ``ProtocolViolation``.
    """

    @abc.abstractmethod
    async def get_report(self, upstream: Upstream) -> RunnerReport:
        """Return the runner's report, some hundred milliseconds old."""

    @abc.abstractmethod
    async def place(
        self, upstream: Upstream, first_layer: int, end_layer: int, order_count: int
    ) -> None:
        """Order a runner to hold a range of layers, the end excluded.

        Parameters
        ----------
        upstream : Upstream
        first_layer, end_layer : int
        order_count : int
            Orders that the runner has accepted; at another count it refuses.

        Raises
        ------
        OrderRejected
        """
