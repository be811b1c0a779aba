"""Starts a router without the command line's modules, which it never uses."""

import sys

from pimentoledge.routing import daemons

if __name__ == "__main__":
    sys.exit(daemons.main())
