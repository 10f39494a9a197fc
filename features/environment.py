"""Hooks of behave: a new world for each scenario."""

from features.harness.world import World


def before_scenario(context, scenario):
    """Start an empty world."""
    del scenario
    context.world = World()


def after_scenario(context, scenario):
    """End the world, with all its tasks."""
    del scenario
    context.world.close()
