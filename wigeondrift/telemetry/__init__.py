"""Log events, metrics and traces."""
