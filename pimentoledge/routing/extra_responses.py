"""Logs responses of servers that no request is waiting for."""

from pimentoledge.platform import requests
from pimentoledge.routing import http_messages
from pimentoledge.routing import log_lines
from pimentoledge.routing import server_connections


def logger_to(lines: log_lines.Lines | None) -> server_connections.OnExtra:
    """Returns a function that logs such responses.

    Args:
        lines: the log, or None.
    """

    def log(
        connection: server_connections.ServerConnection,
        head: http_messages.ResponseHead | None,
        size: int,
    ) -> None:
        if lines is None:
            return
        response = None if head is None else requests.decode_response_head(head)
        lines.write(
            "extra_response",
            server=connection.address,
            connection=connection.number,
            requests=connection.request_count,
            awaits=connection.busy,
            request=None if response is None else response.request,
            status=None if response is None else response.status,
            bytes=size,
        )

    return log
