"""Measurements: load tool, experiments and microbenchmarks."""
