"""Request router for model pipelines and plain services."""

__version__ = "0.1.0"
