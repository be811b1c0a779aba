"""The platform: object API and list of VMs, and their fakes."""
