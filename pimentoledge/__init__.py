"""A router for language-model traffic with long shared prompts."""
