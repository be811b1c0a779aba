"""How many descriptors a process may open."""

import resource

# What is assumed if the system sets no limit.
UNLIMITED = 65536


def allowed() -> int:
    """Returns the number of descriptors that the system allows."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return UNLIMITED if limit == resource.RLIM_INFINITY else limit
