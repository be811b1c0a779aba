"""Measurements: scripts that print figures, no tests."""
