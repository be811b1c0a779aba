"""Organisations' limits, enforced over all routers."""
