"""Behave hooks that all features share."""


def after_step(context, step):
    """Run the queued steps of a scenario in one event loop after its last step."""
    run_scenario = getattr(context, "run_scenario", None)
    if run_scenario is not None and step is context.scenario.steps[-1]:
        run_scenario(context)


def after_scenario(context, scenario):
    """Run the cleanup functions of the scenario, the last registered first."""
    for cleanup in reversed(getattr(context, "cleanups", [])):
        cleanup()
