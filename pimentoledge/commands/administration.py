"""Commands for operators, which call the administration API."""

import json
import os

from cleo.commands import command
from cleo.helpers import argument
from cleo.helpers import option
from returns import result

from pimentoledge import results
from pimentoledge import settings
from pimentoledge.operators import clients

BAD_SETTING_EXIT = 2
REFUSED_EXIT = 1
PAGE_SIZE = 1000
_FIRST_ERROR_STATUS = 400
KINDS = (
    "contracts",
    "backend-servers",
    "models",
    "services",
    "entries",
    "operators",
)


class AdminCommand(command.Command):
    """Base of commands that call the administration API and print JSON.

    Attributes:
        client: client of the administration API.
    """

    client: clients.AdminClient

    def handle(self) -> int:
        """Checks the settings and runs the command; returns the exit status."""
        checked = settings.check_settings(
            program=settings.OPERATOR,
            flags=self.given_flags(),
            environment=dict(os.environ),
        )
        match checked:
            case result.Failure(error):
                self.line_error(f"{error.code.value}: {error.text}")
                return BAD_SETTING_EXIT
            case result.Success(chosen):
                pass
        self.client = clients.AdminClient(
            url=chosen.text("admin-url"), key=chosen.text("operator-key")
        )
        self.client.start()
        try:
            return self.run_with_client()
        finally:
            self.client.close()

    def given_flags(self) -> dict[str, str]:
        """Returns the settings that were given as flags."""
        names = [each.name for each in settings.settings_of(settings.OPERATOR)]
        return {n: self.option(n) for n in names if self.option(n) is not None}

    def run_with_client(self) -> int:
        """Runs the command with a started client; returns the exit status."""
        raise NotImplementedError

    def print_answer(
        self, answer: result.Result[clients.ApiResponse, results.Error]
    ) -> int:
        """Prints an answer; returns the exit status."""
        match answer:
            case result.Failure(error):
                self.line_error(f"{error.code.value}: {error.message()}")
                return REFUSED_EXIT
            case result.Success(received):
                pass
        if received.from_local_copy:
            self.line_error("the store did not answer; this is what is known")
        text = json.dumps(received.fields, indent=2)
        if received.status >= _FIRST_ERROR_STATUS:
            self.line_error(text)
            return REFUSED_EXIT
        self.line(text)
        return 0


def _setting_options() -> list:
    return [
        option(each.name, description=each.text, flag=False)
        for each in settings.settings_of(settings.OPERATOR)
    ]


_IF_VERSION = option(
    "if-version",
    description="version that was read; 0 to create",
    flag=False,
)
_DRY_RUN = option("dry-run", description="check, and write nothing", flag=True)
_NAME = argument("object", description="the object's name")
_FIELDS = argument("fields", description="the fields as a JSON object")


class ListCommand(AdminCommand):
    """Prints all objects of a kind, one JSON object a line."""

    options = _setting_options()

    def __init__(self, *, kind: str):
        self.kind = kind
        self.name = f"{kind} list"
        self.description = f"Prints all {kind}"
        super().__init__()

    def run_with_client(self) -> int:
        """Prints the objects, page by page."""
        for page in self.client.pages(self.kind, PAGE_SIZE):
            received = page.value_or(None)
            if received is None or received.status >= _FIRST_ERROR_STATUS:
                return self.print_answer(page)
            for item in received.fields["items"]:
                self.line(json.dumps(item))
        return 0


class ShowCommand(AdminCommand):
    """Prints one object with its version."""

    arguments = [_NAME]
    options = _setting_options()

    def __init__(self, *, kind: str):
        self.kind = kind
        self.name = f"{kind} show"
        self.description = f"Prints one of the {kind}"
        super().__init__()

    def run_with_client(self) -> int:
        """Prints the object."""
        path = f"{self.kind}/{self.argument('object')}"
        return self.print_answer(self.client.read(path))


class HistoryCommand(AdminCommand):
    """Prints the earlier versions of one object."""

    arguments = [_NAME]
    options = _setting_options()

    def __init__(self, *, kind: str):
        self.kind = kind
        self.name = f"{kind} history"
        self.description = f"Prints versions of {kind}"
        super().__init__()

    def run_with_client(self) -> int:
        """Prints the versions, newest first."""
        path = f"{self.kind}/{self.argument('object')}/history"
        return self.print_answer(self.client.read(path))


class WriteCommand(AdminCommand):
    """Creates, replaces, changes or deletes one object.

    Attributes:
        kind: kind of the object, as in its path.
        method: HTTP method.
    """

    options = [*_setting_options(), _IF_VERSION, _DRY_RUN]

    def __init__(self, *, kind: str, method: str, text: str):
        self.kind = kind
        self.method = method
        self.name = f"{kind} {method.lower()}"
        self.description = f"{text} one of the {kind}"
        self.arguments = [_NAME] if method == "DELETE" else [_NAME, _FIELDS]
        super().__init__()

    def run_with_client(self) -> int:
        """Writes only if the object still has the expected version."""
        expected = self.option("if-version")
        if expected is None or not expected.isdecimal():
            self.line_error("--if-version must be the version that was read")
            return BAD_SETTING_EXIT
        fields = None
        if self.method != "DELETE":
            try:
                fields = json.loads(self.argument("fields"))
            except ValueError as error:
                self.line_error(f"the fields are not JSON: {error}")
                return BAD_SETTING_EXIT
        answer = self.client.write(
            self.method,
            f"{self.kind}/{self.argument('object')}",
            fields=fields,
            expected=int(expected),
            dry_run=self.option("dry-run"),
        )
        return self.print_answer(answer)


class StatusCommand(AdminCommand):
    """Prints the declared configuration and the one in force at each node."""

    name = "status"
    description = "Prints what is in force at each node"
    options = _setting_options()

    def run_with_client(self) -> int:
        """Prints the status."""
        return self.print_answer(self.client.read("status"))


def commands() -> list[command.Command]:
    """Returns all commands for operators."""
    created: list[command.Command] = [StatusCommand()]
    for kind in KINDS:
        created += [
            ListCommand(kind=kind),
            ShowCommand(kind=kind),
            HistoryCommand(kind=kind),
            WriteCommand(kind=kind, method="PUT", text="Creates or replaces"),
            WriteCommand(kind=kind, method="PATCH", text="Changes fields of"),
            WriteCommand(kind=kind, method="DELETE", text="Deletes"),
        ]
    return created
