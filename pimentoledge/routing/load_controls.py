"""Decides at which services load control is in effect."""

import enum

from pimentoledge.routing import request_types


class Mode(enum.StrEnum):
    """Setting of load control.

    AUTO turns it on at services whose servers report how long work takes on
    their VMs: on shared VMs a server's speed changes too fast for rules that
    assume equal servers.
    """

    AUTO = "auto"
    ON = "on"
    OFF = "off"


class LoadControl:
    """Tells whether admission, shares and speeds are in effect at a service.

    Attributes:
        mode: the setting.
        reporting: services of which a server has reported a slowdown.
    """

    def __init__(self, *, mode: Mode = Mode.AUTO):
        self.mode = mode
        self.reporting: set[str] = set()

    def note_report(self, service: str, load: request_types.ServerLoad) -> None:
        """Applies a load report of one of a service's servers."""
        if load.slowdown is not None:
            self.reporting.add(service)

    def applies(self, service: str) -> bool:
        """Returns whether load control is in effect at a service."""
        match self.mode:
            case Mode.ON:
                return True
            case Mode.OFF:
                return False
        return service in self.reporting
