"""Adapter to the platform: its names, formats and requests, but no decisions."""
