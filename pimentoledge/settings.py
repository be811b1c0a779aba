"""Settings of all programs: defaults, allowed values and checks."""

import re
import tomllib

import attrs
from returns import result

from pimentoledge import results

ENVIRONMENT_PREFIX = "PIMENTOLEDGE_"
ENTRY = "entry"
AGENT = "agent"
OPERATOR = "operator"
ROUTER = "router"
DAEMONS = (ENTRY, AGENT)
NAMED_PROGRAMS = (ENTRY, AGENT, ROUTER)
_ADDRESS = re.compile(r"^tcp://\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")
_HOST_PORT = re.compile(r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")
_URL = re.compile(r"^https?://\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")
_ADDRESSES = re.compile(r"^(tcp://\d{1,3}(\.\d{1,3}){3}:\d{1,5}(,|$))*$")
_HOST_PORTS = re.compile(r"^(\d{1,3}(\.\d{1,3}){3}:\d{1,5}(,|$))*$")
_PATH = re.compile(r"^[^\0]{0,4096}$")
_DIGEST = re.compile(r"^([0-9a-f]{64})?$")
_KEY = re.compile(r"^[!-~]{16,256}$")
_NAME = re.compile(r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")


@attrs.frozen(kw_only=True)
class Text:
    """A kind of setting whose text matches a pattern.

    Attributes:
        pattern: what the whole text must match.
        allowed: description of the allowed texts, for messages.
    """

    pattern: re.Pattern[str]
    allowed: str


@attrs.frozen(kw_only=True)
class Number:
    """A kind of setting that is a number between two inclusive bounds."""

    low: float
    high: float
    integral: bool = False


@attrs.frozen(kw_only=True)
class Choice:
    """A kind of setting that is one of a few words."""

    values: tuple[str, ...]


@attrs.frozen(kw_only=True)
class Setting:
    """One setting.

    Attributes:
        name: name with hyphens, as in the flag.
        kind: the allowed values.
        default: default value; None if the setting is required.
        programs: programs that have the setting.
        text: description for operators, with the unit.
    """

    name: str
    kind: Text | Number | Choice
    default: str | None
    programs: tuple[str, ...]
    text: str

    def variable(self) -> str:
        """Returns the name of the environment variable."""
        return ENVIRONMENT_PREFIX + self.name.replace("-", "_").upper()

    def flag(self) -> str:
        """Returns the command line flag."""
        return "--" + self.name


_ADDRESS_KIND = Text(pattern=_ADDRESS, allowed="tcp://IP:PORT")
_HOST_KIND = Text(pattern=_HOST_PORT, allowed="IP:PORT")
_URL_KIND = Text(pattern=_URL, allowed="http://IP:PORT")
_NAME_KIND = Text(
    pattern=_NAME,
    allowed="letters, digits, '.', '_' and '-', at most 63",
)


def _seconds(low: float, high: float) -> Number:
    return Number(low=low, high=high)


SETTINGS: tuple[Setting, ...] = (
    Setting(
        name="name",
        kind=_NAME_KIND,
        default=None,
        programs=NAMED_PROGRAMS,
        text="name of this process; an agent has its backend server's name",
    ),
    Setting(
        name="data-centre",
        kind=_NAME_KIND,
        default="local",
        programs=NAMED_PROGRAMS,
        text="data centre that this process runs in",
    ),
    Setting(
        name="mailbox",
        kind=_ADDRESS_KIND,
        default=None,
        programs=DAEMONS,
        text="address where other processes reach this one",
    ),
    Setting(
        name="peers",
        kind=Text(
            pattern=_ADDRESSES,
            allowed="addresses as tcp://IP:PORT with commas between, or none",
        ),
        default="",
        programs=DAEMONS,
        text="mailboxes of a few entries, to find the others by",
    ),
    Setting(
        name="operator-key-digest",
        kind=Text(pattern=_DIGEST, allowed="64 hexadecimal digits, or none"),
        default="",
        programs=(ENTRY,),
        text="BLAKE2b-256 digest of an admin's key that is always valid",
    ),
    Setting(
        name="admin-url",
        kind=_URL_KIND,
        default="http://127.0.0.1:8081",
        programs=(OPERATOR,),
        text="administration API of any entry",
    ),
    Setting(
        name="operator-key",
        kind=Text(pattern=_KEY, allowed="16 to 256 visible characters"),
        default=None,
        programs=(OPERATOR,),
        text="the operator's key; better given in the environment",
    ),
    Setting(
        name="store",
        kind=_URL_KIND,
        default=None,
        programs=DAEMONS,
        text="the platform's object API",
    ),
    Setting(
        name="store-timeout",
        kind=_seconds(0.05, 60),
        default="2",
        programs=DAEMONS,
        text="seconds to wait for an answer of the object API",
    ),
    Setting(
        name="vm-list-seconds",
        kind=_seconds(1, 3600),
        default="10",
        programs=(ENTRY,),
        text="seconds between two reads of the platform's list of VMs",
    ),
    Setting(
        name="listen",
        kind=_HOST_KIND,
        default="127.0.0.1:8080",
        programs=(ENTRY, ROUTER),
        text="address for callers",
    ),
    Setting(
        name="admin-listen",
        kind=_HOST_KIND,
        default="127.0.0.1:8081",
        programs=DAEMONS,
        text="address for operators, metrics and health",
    ),
    Setting(
        name="caller-threads",
        kind=Number(low=4, high=4096, integral=True),
        default="600",
        programs=(ENTRY,),
        text="callers served at one time; each open stream holds one thread",
    ),
    Setting(
        name="max-body-bytes",
        kind=Number(low=1024, high=64 * 1024 * 1024, integral=True),
        default=str(8 * 1024 * 1024),
        programs=(ENTRY,),
        text="largest body of a request, in bytes",
    ),
    Setting(
        name="body-memory-bytes",
        kind=Number(low=64 * 1024, high=64 * 1024 * 1024 * 1024, integral=True),
        default=str(64 * 1024 * 1024),
        programs=(ENTRY,),
        text="bodies of all requests that are read or in progress, in bytes;"
        " at least max-body-bytes",
    ),
    Setting(
        name="stream-buffer-bytes",
        kind=Number(low=4096, high=16 * 1024 * 1024, integral=True),
        default=str(256 * 1024),
        programs=(ENTRY,),
        text="text kept for a slow caller before its stream is ended, bytes",
    ),
    Setting(
        name="drain-seconds",
        kind=_seconds(0, 3600),
        default="3",
        programs=(ENTRY,),
        text="seconds to go on accepting after SIGTERM, while not ready",
    ),
    Setting(
        name="shutdown-seconds",
        kind=_seconds(1, 86400),
        default="600",
        programs=DAEMONS,
        text="longest wait for running requests after SIGTERM, seconds",
    ),
    Setting(
        name="backend",
        kind=_URL_KIND,
        default=None,
        programs=(AGENT,),
        text="the backend server beside this agent",
    ),
    Setting(
        name="kind",
        kind=Choice(values=("runner", "service", "kv_cache")),
        default="runner",
        programs=(AGENT,),
        text="what stands beside this agent",
    ),
    Setting(
        name="slots",
        kind=Number(low=1, high=1024, integral=True),
        default="16",
        programs=(AGENT,),
        text="requests that run at one time until the engine has told",
    ),
    Setting(
        name="engine-timeout",
        kind=_seconds(0.1, 600),
        default="30",
        programs=(AGENT,),
        text="seconds of silence after which an engine's answer is broken",
    ),
    Setting(
        name="block-bytes",
        kind=Number(low=16, high=65536, integral=True),
        default="256",
        programs=(ENTRY,),
        text="prompt bytes in one block of the prefix chain",
    ),
    Setting(
        name="log-level",
        kind=Choice(values=("debug", "info", "notice", "warning", "error")),
        default="info",
        programs=NAMED_PROGRAMS,
        text="lowest level that is logged",
    ),
    Setting(
        name="log-format",
        kind=Choice(values=("plain", "json")),
        default="plain",
        programs=DAEMONS,
        text="form of the log lines",
    ),
    Setting(
        name="config",
        kind=Text(pattern=_PATH, allowed="a path, or none"),
        default="",
        programs=(ROUTER,),
        text='file of lines `name = "value"`, read again when it changes',
    ),
    Setting(
        name="ready-listen",
        kind=_HOST_KIND,
        default="127.0.0.1:8082",
        programs=(ROUTER,),
        text="address where the balancer asks whether clients may come",
    ),
    Setting(
        name="metrics-listen",
        kind=_HOST_KIND,
        default="127.0.0.1:8083",
        programs=(ROUTER,),
        text="address of the counters page",
    ),
    Setting(
        name="peer-listen",
        kind=_HOST_KIND,
        default="127.0.0.1:8084",
        programs=(ROUTER,),
        text="address where other routers reach this one",
    ),
    Setting(
        name="peer-seeds",
        kind=Text(
            pattern=_HOST_PORTS,
            allowed="addresses as IP:PORT with commas between, or none",
        ),
        default="",
        programs=(ROUTER,),
        text="a few routers, to find the others by",
    ),
    Setting(
        name="store-address",
        kind=_HOST_KIND,
        default=None,
        programs=(ROUTER,),
        text="the platform's store",
    ),
    Setting(
        name="retry-ratio",
        kind=Number(low=0, high=10),
        default="0.2",
        programs=(ROUTER,),
        text="repeats allowed for each request of a service",
    ),
    Setting(
        name="retry-slack",
        kind=Number(low=0, high=1000000),
        default="20",
        programs=(ROUTER,),
        text="repeats allowed besides in a window, over all routers",
    ),
    Setting(
        name="retry-window-s",
        kind=_seconds(0.1, 3600),
        default="10",
        programs=(ROUTER,),
        text="window of the two, in seconds",
    ),
    Setting(
        name="limit-window-s",
        kind=_seconds(0.1, 3600),
        default="8",
        programs=(ROUTER,),
        text="window in which organisations' limits are looked at, in seconds",
    ),
    Setting(
        name="limit-over",
        kind=Number(low=0, high=10),
        default="0",
        programs=(ROUTER,),
        text="part by which a limit may be exceeded in a window, over all"
        " routers",
    ),
    Setting(
        name="limit-slack",
        kind=Number(low=0, high=1000000000),
        default="0",
        programs=(ROUTER,),
        text="what may run besides in a window, in the limits' unit",
    ),
    Setting(
        name="weights-ms",
        kind=Number(low=100, high=3600000),
        default="8000",
        programs=(ROUTER,),
        text="after newer weights are named, requests may begin on older ones"
        " for so many milliseconds",
    ),
    Setting(
        name="lease-ms",
        kind=Number(low=0, high=3600000),
        default="3000",
        programs=(ROUTER,),
        text="milliseconds between the orders of two holders",
    ),
    Setting(
        name="drain-ms",
        kind=Number(low=100, high=3600000),
        default="2000",
        programs=(ROUTER,),
        text="a backend server that says that it leaves may get requests for"
        " so many milliseconds",
    ),
    Setting(
        name="config-ms",
        kind=Number(low=100, high=3600000),
        default="2000",
        programs=(ROUTER,),
        text="milliseconds in which a new configuration is to be in force",
    ),
    Setting(
        name="link-mbps",
        kind=Number(low=0, high=10000000),
        default="0",
        programs=(ROUTER,),
        text="bandwidth of the VM's link in Mbit/s, 0 if unknown; routers with"
        " the fastest links watch the configuration for the others",
    ),
    Setting(
        name="load-control",
        kind=Choice(values=("auto", "on", "off")),
        default="auto",
        programs=(ROUTER,),
        text="whether requests are queued and placed by shares and by the"
        " servers' speeds; auto: at services whose servers report how long"
        " work takes on their VMs",
    ),
    Setting(
        name="memory-mb",
        kind=Number(low=0, high=1048576),
        default="0",
        programs=(ROUTER,),
        text="memory of this VM in MB, of which a part may hold bytes of"
        " requests and responses; 0 if unknown",
    ),
    Setting(
        name="max-descriptors",
        kind=Number(low=0, high=1048576, integral=True),
        default="0",
        programs=(ROUTER,),
        text="descriptors that this process may open, of which connections of"
        " clients take 0.45 at most; 0: what the system allows",
    ),
    Setting(
        name="grace-s",
        kind=_seconds(0.5, 3600),
        default="8",
        programs=(ROUTER,),
        text="seconds from SIGTERM to SIGKILL",
    ),
)


@attrs.frozen(kw_only=True)
class Value:
    """A setting's value and its source.

    Attributes:
        setting: the setting.
        text: the value as text.
        source: "flag", "environment", "file" or "default".
    """

    setting: Setting
    text: str
    source: str


class Settings:
    """The checked settings of one process.

    Attributes:
        values: Value by setting name.
    """

    def __init__(self, *, values: dict[str, Value]):
        self.values = values

    def flags(self) -> dict[str, str]:
        """Returns the values that came from the command line."""
        return {
            name: each.text
            for name, each in self.values.items()
            if each.source == "flag"
        }

    def text(self, name: str) -> str:
        """Returns a setting's value as text."""
        return self.values[name].text

    def items(self, name: str) -> list[str]:
        """Returns the items of a comma-separated setting."""
        return [each for each in self.values[name].text.split(",") if each]

    def number(self, name: str) -> float:
        """Returns a setting's value as a number."""
        return float(self.values[name].text)

    def integer(self, name: str) -> int:
        """Returns a setting's value as a whole number."""
        return int(self.values[name].text)


def settings_of(program: str) -> list[Setting]:
    """Returns the settings that a program has."""
    return [each for each in SETTINGS if program in each.programs]


def describe_allowed(kind: Text | Number | Choice) -> str:
    """Returns a description of the values that a kind allows."""
    match kind:
        case Text():
            return kind.allowed
        case Number():
            noun = "a whole number" if kind.integral else "a number"
            return f"{noun} from {kind.low:g} to {kind.high:g}"
        case Choice():
            return "one of " + ", ".join(kind.values)


def is_valid(kind: Text | Number | Choice, text: str) -> bool:
    """Returns whether a kind allows a text as value."""
    match kind:
        case Text():
            return bool(kind.pattern.match(text))
        case Choice():
            return text in kind.values
        case Number():
            try:
                number = int(text) if kind.integral else float(text)
            except ValueError:
                return False
            return kind.low <= number <= kind.high


def _setting_error(text: str) -> result.Failure:
    error = results.Error(code=results.Code.BAD_SETTING, text=text)
    return result.Failure(error)


def check_settings(
    *,
    program: str,
    flags: dict[str, str],
    environment: dict[str, str],
    file: dict[str, str] | None = None,
) -> result.Result[Settings, results.Error]:
    """Checks the settings of a program.

    Args:
        program: ENTRY, AGENT, ROUTER or OPERATOR.
        flags: value by setting name, as given on the command line.
        environment: the process's environment.
        file: value by setting name, as given in a settings file.

    Returns:
        The settings, or an Error that names flag, variable, value and what
        is allowed.
    """
    setting_by_name = {each.name: each for each in SETTINGS}
    variables = {each.variable() for each in SETTINGS}
    program_settings = settings_of(program)
    for name in flags:
        if (
            name not in setting_by_name
            or setting_by_name[name] not in program_settings
        ):
            return _setting_error(
                f"unknown setting --{name} of pimentoledge {program}"
            )
    file = file or {}
    for name in file:
        if (
            name not in setting_by_name
            or setting_by_name[name] not in program_settings
        ):
            return _setting_error(
                f"unknown setting {name} in the settings file"
            )
    for variable in sorted(environment):
        has_prefix = variable.startswith(ENVIRONMENT_PREFIX)
        if has_prefix and variable not in variables:
            return _setting_error(
                f"unknown setting {variable} in the environment"
            )
    values: dict[str, Value] = {}
    for setting in program_settings:
        value = _find_value(setting, flags, environment, file)
        setting_label = f"{setting.flag()} (or {setting.variable()})"
        if value is None:
            return _setting_error(
                f"missing setting {setting_label}:"
                f" must be {describe_allowed(setting.kind)}"
            )
        if not is_valid(setting.kind, value.text):
            return _setting_error(
                f"bad setting {setting_label}: {value.text!r} from"
                f" {value.source};"
                f" must be {describe_allowed(setting.kind)}"
            )
        values[setting.name] = value
    return result.Success(Settings(values=values))


def _find_value(
    setting: Setting,
    flags: dict[str, str],
    environment: dict[str, str],
    file: dict[str, str],
) -> Value | None:
    if setting.name in flags:
        return Value(setting=setting, text=flags[setting.name], source="flag")
    if setting.variable() in environment:
        text = environment[setting.variable()]
        return Value(setting=setting, text=text, source="environment")
    if setting.name in file:
        return Value(setting=setting, text=file[setting.name], source="file")
    if setting.default is None:
        return None
    return Value(setting=setting, text=setting.default, source="default")


def read_file(path: str) -> result.Result[dict[str, str], results.Error]:
    """Returns the settings of a file: lines `name = "value"`, in TOML.

    Args:
        path: the file's path.
    """
    try:
        with open(path, "rb") as file:
            parsed = tomllib.load(file)
    except (OSError, tomllib.TOMLDecodeError) as error:
        return _setting_error(f"settings file: {error}")
    return result.Success({name: str(parsed[name]) for name in parsed})
