"""Plug-in ``rotation``: orders replicas to load the versions named."""

from __future__ import annotations

from lentildeal._internal.kernel import plugins


@plugins.register('rotation', after=('duties',))
class Rotation(plugins.Plugin):
    """Gives the orders of the services whose duty this daemon holds."""
