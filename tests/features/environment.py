"""Hooks of the features."""


def after_scenario(context, scenario):
    for close in reversed(getattr(context, "closers", [])):
        close()
