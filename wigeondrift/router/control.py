"""Interface to the control plane of runners: reports and orders."""

import abc

from wigeondrift.entities import Route
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

    @abc.abstractmethod
    async def repath(self, upstream: Upstream, request_id: str, route: Route) -> None:
        """Order the first runner of a request to continue it over another route.

        Parts that the request did not use before read all its tokens so far; the other
        parts keep their memory.

        Parameters
        ----------
        upstream : Upstream
            First runner of the request, and of ``route``.
        request_id : str
        route : Route

        Raises
        ------
        OrderTargetMissing
            If the runner does not run the request.
        RoutePartUnavailable
            If a part of the route is not there or has no room.
        OrderConflict
            If the runner's state differs from what the order expects.
        OrderRejected
            If the runner rejects the order for another reason.
        OrderUnanswered
            If there was no answer; the order may be carried out later.
        ConnectFailed
            If the order was not sent.
        """
