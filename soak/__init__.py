"""Randomized soak test: runs the real programs as processes and injects faults."""
