"""The software version to which one request's stream is bound."""

from pimentoledge import results
from pimentoledge.routing import configurations
from pimentoledge.routing import request_types
from pimentoledge.routing import stream_version_exchanges
from pimentoledge.routing import version_histories

# A stream may be resumed until its client's deadline. This is for the time in
# which the last attempt is on its way.
LIFE_MARGIN_SECONDS = 5.0


class StreamBinding:
    """Binds a request to a software version of its servers.

    Attributes:
        versions: software versions of streams over all routers.
        software: the version that the stream goes on at, or None while any
            server may begin it.
    """

    def __init__(
        self, *, versions: stream_version_exchanges.StreamVersionExchange
    ):
        self.versions = versions
        self.software: str | None = None

    async def resume(
        self,
        client_request: request_types.ClientRequest,
        route: configurations.Route,
    ) -> results.Code | None:
        """Binds a request that resumes a stream to the stream's version.

        Returns:
            the code with which it is refused, or None.
        """
        is_stream = route.kind is configurations.Repeatability.STREAM
        if not is_stream or client_request.resume_after is None:
            return None
        self.software = await self.versions.find(
            client_request.resumes,
            route,
            max(
                version_histories.REMEMBERED_SECONDS,
                self._life_seconds(client_request),
            ),
        )
        if self.software is None:
            return results.Code.STREAM_UNKNOWN
        return None

    def begin(
        self,
        client_request: request_types.ClientRequest,
        route: configurations.Route,
        software: str,
    ) -> None:
        """Binds a stream to the server whose first event is passed on."""
        if self.software is not None:
            return
        self.software = software
        if route.resumable:
            self.versions.began(
                client_request.request,
                software,
                self._life_seconds(client_request),
            )

    def _life_seconds(
        self, client_request: request_types.ClientRequest
    ) -> float:
        wait = client_request.wait_seconds or request_types.DEFAULT_WAIT_SECONDS
        return wait + LIFE_MARGIN_SECONDS
