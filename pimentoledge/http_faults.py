"""Classifies errors of the HTTP client."""

import urllib3


def never_sent(error: urllib3.exceptions.HTTPError) -> bool:
    """Returns whether a request certainly never left this process.

    That holds only if no connection was established: refused, unreachable, or
    timed out while connecting. Afterwards even a reset does not show what the
    peer did with the request.
    """
    return isinstance(
        error,
        (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
            urllib3.exceptions.LocationValueError,
        ),
    )
