"""Clients and fakes of the platform's object API and list of VMs."""
