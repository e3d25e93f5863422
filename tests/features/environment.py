"""Hooks of the features."""


def after_step(context, step):
    """Play what a scenario queued for one run in virtual time, after its last step."""
    play = getattr(context, "play", None)
    if play is not None and step is context.scenario.steps[-1]:
        play(context)


def after_scenario(context, scenario):
    for close in reversed(getattr(context, "closers", [])):
        close()
