"""The agent: watches the platform and gossips with its peers."""
