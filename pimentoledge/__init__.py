"""A router for language-model traffic with long shared prompts."""

VERSION = "0.1.0"
