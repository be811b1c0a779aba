"""Types of client requests, dispatches and server responses."""

import attrs

HIGHEST_URGENCY = 0
# How long a client that sends no deadline is assumed to wait.
DEFAULT_WAIT_SECONDS = 60.0


@attrs.frozen(kw_only=True)
class Part:
    """One part of a prompt.

    Attributes:
        name: identity of the content, equal for all requests that share it.
        tokens: length in tokens.
    """

    name: str
    tokens: int


@attrs.define(kw_only=True)
class ClientRequest:
    """One attempt of a client.

    Attributes:
        request: the client's id of this attempt.
        method: HTTP method.
        host: requested host, without a port.
        target: path and query as sent.
        path: path without the query.
        key: API key, or None.
        wait_seconds: timeout of the client, or None if not given.
        model: requested model, or "".
        prompt_tokens: length of the prompt in tokens.
        answer_tokens: maximum number of tokens to generate.
        parts: the prompt's parts in order; the last is not shared.
        resume_after: number of the last event that the client has, or None.
        resumes: id of the request that brought the first event of the stream
            that it resumes, or "".
        passed_on: headers forwarded to the server unchanged.
        body: the complete body.
        arrived: time at which the request was fully received, in seconds of
            clocks.now.
    """

    request: str
    method: bytes
    host: str
    target: bytes
    path: str
    key: str | None
    wait_seconds: float | None
    model: str
    prompt_tokens: int
    answer_tokens: int
    parts: tuple[Part, ...]
    resume_after: int | None
    passed_on: list[tuple[bytes, bytes]]
    body: bytes
    arrived: float
    resumes: str = ""

    @property
    def shared(self) -> tuple[Part, ...]:
        """The parts that other requests share."""
        return self.parts[:-1]

    def shared_tokens(self) -> int:
        """Returns the tokens of the prompt that other requests share."""
        return sum(part.tokens for part in self.shared)

    def tokens(self) -> int:
        """Returns the prompt tokens plus the maximum of generated tokens."""
        return self.prompt_tokens + self.answer_tokens

    def unshared_tokens(self) -> int:
        """Returns the tokens of the prompt that no other request shares."""
        return self.prompt_tokens - self.shared_tokens()


@attrs.define(kw_only=True)
class Dispatch:
    """Routing data sent to a server along with the client's request.

    Attributes:
        server: id of the only server that may run the request.
        organisation: owner of the API key, or None if no key is needed.
        seconds_left: time remaining until the deadline.
        urgency: 0 is the most urgent; None leaves it to the server.
        weights: the only version of the weights it may start on, or None.
        namespace: cache namespace of the parts, or None.
        fetch_from: address of a server to fetch cached parts from, or None.
        to_read: estimated prompt tokens that the server has to prefill.
        save_to: address of the KV cache server to save parts to, or None.
        resume_after: number of the last event already forwarded, or None.
    """

    server: str
    organisation: str | None
    seconds_left: float
    urgency: int | None = None
    weights: int | None = None
    namespace: str | None = None
    fetch_from: str | None = None
    to_read: int = 0
    save_to: str | None = None
    resume_after: int | None = None


@attrs.frozen(kw_only=True)
class ServerLoad:
    """A load report in a server's response.

    Attributes:
        running: number of running requests.
        waiting: number of queued requests.
        slots: maximum number of concurrently running requests.
        slowdown: how long work takes on the server's VM at this moment, as a
            multiple of the usual time; None if not reported.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None


@attrs.define(kw_only=True)
class ServerResponse:
    """The status and parsed headers of a server's response.

    Attributes:
        status: HTTP status.
        request: id of the answered request, or None if not given.
        not_run: whether the server states that it did not run the request.
        signed: whether it carries the server's signature.
        encoded: whether the body has a content encoding.
        load: the server's load report, or None.
        weights: version of the weights it started on, or None.
        server: id of the responding server, or None.
        idle_seconds: keep-alive timeout of the connection, or None.
        leaving: whether the server announces that it is leaving.
        retry_seconds: requested backoff, or None.
        retry_text: the header value of `retry_seconds`, or "".
        limit: requests a second that it accepts from all routers, or None.
        limit_text: the header value of `limit`, or "".
        passed_on: headers forwarded to the client.
    """

    status: int
    request: str | None
    not_run: bool
    signed: bool
    encoded: bool
    load: ServerLoad | None
    weights: int | None
    server: str | None
    idle_seconds: float | None
    leaving: bool
    retry_seconds: float | None
    retry_text: str
    limit: float | None
    limit_text: str
    passed_on: list[tuple[bytes, bytes]]
