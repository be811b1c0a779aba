"""What a router's last call for a kind of objects showed of the store."""

import enum


class StoreState(enum.StrEnum):
    """State of the store, as seen by the calls for one kind of objects."""

    UNKNOWN = "unknown"
    CURRENT = "current"
    UNREACHED = "unreached"
    UNREADABLE = "unreadable"
