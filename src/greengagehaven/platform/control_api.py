"""HTTP API of a control host on the platform, mapped to the generic operations."""

import typing
import urllib.parse
from collections import abc

from greengagehaven import exceptions
from greengagehaven.daemons import orders, registrar
from greengagehaven.platform import announcements, documents, names, rollout_bodies
from greengagehaven.transport import http

_RETRY_AFTER_S = "0.3"

Route = abc.Callable[[http.Request, str], typing.Awaitable[http.Response]]


class ControlApi:
    """Handles the requests of upstreams (leafs) and of the operator.

    :param orders: carries out the operator's requests.
    :param registrar: registers and withdraws upstreams.
    """

    def __init__(
        self, *, orders: orders.OrderExecutor, registrar: registrar.Registrar
    ) -> None:
        self._orders = orders
        self._registrar = registrar
        self._routes: dict[tuple[str, str], Route] = {
            ("PUT", names.CONFIG_PATH): self._put_config,
            ("GET", names.CONFIG_PATH): self._get_config,
            ("POST", names.EVACUATE_PATH): self._post_evacuation,
            ("DELETE", names.EVACUATE_PATH): self._delete_evacuation,
            ("POST", names.ROLLOUT_PATH): self._post_rollout,
            ("GET", names.ROLLOUT_PATH): self._get_rollout,
            ("PUT", names.INSTANCES_PATH): self._put_instance,
            ("DELETE", names.INSTANCES_PATH): self._delete_instance,
        }

    async def handle(self, request: http.Request) -> http.Response:
        """Handle one request.

        :raises GreengagehavenError: the request is refused; the server turns the
            error into a response.
        """
        path = request.path
        if path == names.CONFIG_PATH:
            prefix, name = path, ""
        elif path + "/" == names.ROLLOUT_PATH:
            prefix, name = names.ROLLOUT_PATH, ""
        else:
            prefix, name = path[: path.rfind("/") + 1], path[path.rfind("/") + 1 :]
        route = self._routes.get((request.method, prefix))
        if route is None:
            raise exceptions.NotFoundError(f"no such endpoint: {request.method} {path}")
        try:
            return await route(request, urllib.parse.unquote(name))
        except exceptions.ControlError as error:
            if error.status != 503:
                raise
            return http.Response(
                status=503, body=b"{}", headers=(("Retry-After", _RETRY_AFTER_S),)
            )

    async def _put_config(self, request: http.Request, _: str) -> http.Response:
        try:
            table = documents.parse(request.body)
        except exceptions.DocumentError as error:
            raise exceptions.InvalidRequestError(
                place="config", value="", expected=error.detail
            ) from error
        await self._orders.put_document(table.number, request.body)
        return _OK

    async def _get_config(self, _request: http.Request, _: str) -> http.Response:
        return http.Response(status=200, body=await self._orders.read_document())

    async def _post_evacuation(self, _: http.Request, zone: str) -> http.Response:
        await self._orders.set_zone(zone, drained=True)
        return _OK

    async def _delete_evacuation(self, _: http.Request, zone: str) -> http.Response:
        await self._orders.set_zone(zone, drained=False)
        return _OK

    async def _post_rollout(self, request: http.Request, _: str) -> http.Response:
        order = rollout_bodies.parse_order(request.body)
        await self._orders.start_rollout(
            order.service, order.version, duration_s=order.duration_s
        )
        return _OK

    async def _get_rollout(self, _: http.Request, service: str) -> http.Response:
        rollout = await self._orders.read_rollout(service)
        return http.Response(status=200, body=rollout_bodies.encode_state(rollout))

    async def _put_instance(self, request: http.Request, name: str) -> http.Response:
        await self._registrar.announce(
            announcements.parse_announcement(name, request.body)
        )
        return _OK

    async def _delete_instance(self, request: http.Request, name: str) -> http.Response:
        await self._registrar.withdraw(
            name, announcements.parse_withdrawal(request.body)
        )
        return _OK


_OK = http.Response(status=200, body=b"{}")
