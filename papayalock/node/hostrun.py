"""Runs a node with host routing, and reloads its settings."""

from pathlib import Path

from papayalock.dialect import NodeDialects
from papayalock.node.hostmain import HostNode
from papayalock.reload import SettingsWatcher
from papayalock.settings import Settings


async def run_host_node(
    settings: Settings, dialects: NodeDialects, path: Path
) -> None:
    """Runs a node until it is stopped.

    :param path: the settings file, which is reloaded when it changes
    """
    node = HostNode(settings, dialects)
    settings_watcher = SettingsWatcher(path, settings, node.apply_settings)
    await settings_watcher.run_alongside(node.run())
