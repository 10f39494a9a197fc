"""Hooks of behave that give each scenario its own world."""

from features.harness.world import World


class _LazyWorld:
    """Creates the world when a step first uses it."""

    def __init__(self):
        self._world = None

    def __getattr__(self, name):
        if self._world is None:
            self._world = World()
        return getattr(self._world, name)

    def close_if_created(self):
        if self._world is not None:
            self._world.close()


def before_scenario(context, scenario):
    """Give the scenario a world that starts on first use."""
    del scenario
    context.world = _LazyWorld()


def after_scenario(context, scenario):
    """End the world of the scenario and all its tasks."""
    del scenario
    context.world.close_if_created()
