"""The stages of serving one client request."""
