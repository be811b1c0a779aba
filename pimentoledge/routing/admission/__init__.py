"""Holds requests in the router until a server has a place for them."""
