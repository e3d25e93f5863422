"""The entry: takes callers' requests and forwards them on its own interface."""
