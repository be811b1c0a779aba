"""Starts a router without importing the modules of the command line."""

import sys

from pimentoledge.routing import daemons

if __name__ == "__main__":
    sys.exit(daemons.main())
