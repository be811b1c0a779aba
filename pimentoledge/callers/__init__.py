"""HTTP for callers: completions and plain services."""
