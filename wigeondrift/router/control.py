"""Interface to the control plane of runners: reports and orders."""

import abc

from wigeondrift.router.entities import RunnerReport, Upstream


class RunnerControl(abc.ABC):
    """Reads reports of runners and sends orders to them.

    Each method may raise ``ProtocolViolation``, or ``TransportError``, after which an
    order may still be carried out.
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
            Number of orders that the runner has accepted; it rejects any other number.

        Raises
        ------
        OrderRejected
            If the runner rejects the order.
        """
