"""Decisions over tables, without sockets, clocks or random sources of their own."""
