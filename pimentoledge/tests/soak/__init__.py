"""Fault soak: real router processes before stand-ins, under seeded faults."""
