"""Estimates each server's speed and how many requests it takes well."""
