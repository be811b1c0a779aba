"""Client and wire format of model engines, and a fake engine."""
