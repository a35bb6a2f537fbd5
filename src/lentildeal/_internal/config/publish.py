"""Plug-in that publishes texts."""

from __future__ import annotations

from lentildeal._internal.kernel import plugins


@plugins.register('publish', after=('config',))
class ConfigPublisher(plugins.Plugin):
    """Takes edits from operators."""
