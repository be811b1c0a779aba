"""What a client asks for, what is sent on, and what a server answers."""

import attrs

MOST_URGENT = 0


@attrs.frozen(kw_only=True)
class Part:
    """One part of a prompt, by its identity.

    Attributes:
        name: the same for all requests that share the part.
        tokens: its length.
    """

    name: str
    tokens: int


@attrs.define(kw_only=True)
class ClientRequest:
    """One attempt of a client.

    Attributes:
        request: the client's id of this attempt.
        method: HTTP method.
        host: which host it names, without a port.
        target: path and query as sent.
        path: the path alone.
        key: API key, or None.
        wait_seconds: how long the client waits, or None if it doesn't say.
        model: model it names, or "".
        prompt_tokens: tokens to read.
        answer_tokens: most tokens to make.
        parts: the prompt's parts in order; the last is the request's own.
        resume_after: number of the last event that the client has, or None.
        passed_on: headers that go to the server as they came.
        body: the whole body.
        arrived: when it had been read, in seconds of clocks.now.
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

    @property
    def shared(self) -> tuple[Part, ...]:
        """The parts that other requests share."""
        return self.parts[:-1]

    def shared_tokens(self) -> int:
        """Returns the tokens of the prompt that other requests share."""
        return sum(part.tokens for part in self.shared)

    def tokens(self) -> int:
        """Returns the tokens to read and the most to make; 0 if not told."""
        return self.prompt_tokens + self.answer_tokens

    def unshared_tokens(self) -> int:
        """Returns the tokens of the prompt that no other request shares."""
        return self.prompt_tokens - self.shared_tokens()


@attrs.define(kw_only=True)
class Dispatch:
    """What goes to a server besides the client's own request.

    Attributes:
        server: id of the server that alone may run it.
        organisation: whose key it was, or None where none is needed.
        seconds_left: how long the server may take.
        urgency: 0 is first; None leaves it to the server.
        weights: the only version of the weights it may begin on, or None.
        namespace: under which cached parts are found, or None.
        fetch_from: address of a server that may hold parts, or None.
        to_read: tokens of the prompt that the server is believed to read.
        save_to: address of the KV cache server that keeps parts, or None.
        resume_after: number of the last event already passed on, or None.
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
    """What a server says of its load.

    Attributes:
        running: requests that run.
        waiting: requests that wait.
        slots: requests that may run at once.
    """

    running: int
    waiting: int
    slots: int


@attrs.define(kw_only=True)
class ServerResponse:
    """The head of a server's answer.

    Attributes:
        status: HTTP status.
        request: which request it answers, or None if it doesn't say.
        not_run: whether the server states that it did not run the request.
        signed: whether it bears the server's signature.
        encoded: whether the body is not the server's plain bytes.
        load: the server's load, or None.
        weights: version of the weights it began on, or None.
        server: id of the server that answered, or None.
        idle_seconds: how long the connection may stay idle, or None.
        leaving: whether the server says that it leaves.
        retry_seconds: for how long it asks for no request, or None.
        retry_text: how it says so, or "".
        limit: requests a second that it takes of all routers, or None.
        limit_text: how it says so, or "".
        passed_on: headers that go to the client.
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
