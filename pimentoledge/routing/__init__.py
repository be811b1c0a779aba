"""A router that calls the backend servers itself: one loop, one hop."""
