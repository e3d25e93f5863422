"""Adapter to the users' platform: its words, formats and calls, no decisions."""
