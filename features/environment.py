"""Hooks of behave: a new world for each scenario."""

from features.harness.world import World


class _LazyWorld:
    """Makes the world when a step first asks for it."""

    def __init__(self):
        self._world = None

    def __getattr__(self, name):
        if self._world is None:
            self._world = World()
        return getattr(self._world, name)

    def close_if_made(self):
        if self._world is not None:
            self._world.close()


def before_scenario(context, scenario):
    """Start an empty world."""
    del scenario
    context.world = _LazyWorld()


def after_scenario(context, scenario):
    """End the world, with all its tasks."""
    del scenario
    context.world.close_if_made()
