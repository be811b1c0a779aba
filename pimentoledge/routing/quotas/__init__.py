"""Organisations' limits, held over all routers together."""
