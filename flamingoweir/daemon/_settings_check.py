"""Settings of the daemon: from a file, or fit for one machine."""

import dataclasses

from ..settings import InstanceSettings, Settings, load_settings


def load_daemon_settings(path: str | None, standalone: bool) -> Settings:
    """Return the settings to run with; raises SettingsError.

    Parameters
    ----------
    path : str or None
        An INI file; with none, every key has its default.
    standalone : bool
        Whether ports that the settings leave open are taken from the system.
    """
    if path is not None:
        return load_settings(path)
    settings = Settings()
    if not standalone:
        return settings
    instance = InstanceSettings(http_port=0, peer_port=0)
    return dataclasses.replace(settings, instance=instance)
