"""The interface of model engines, and its fake."""
