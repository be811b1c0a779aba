"""Divides the capacity of services among organisations by their shares."""
