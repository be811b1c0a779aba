"""The interface of plain services, and its fake."""
