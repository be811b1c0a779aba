"""Stateful fuzzing of the real decisions against a simple oracle."""
