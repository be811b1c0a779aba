"""What an error of the HTTP client says about the request."""

import urllib3


def never_sent(error: urllib3.exceptions.HTTPError) -> bool:
    """Returns whether a request certainly never left this process.

    That holds only when no connection came about: refused, unreachable, or
    timed out while connecting. After that, even a reset says nothing about
    what the peer did with the request.
    """
    return isinstance(
        error,
        (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
            urllib3.exceptions.LocationValueError,
        ),
    )
