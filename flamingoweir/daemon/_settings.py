"""Load the daemon's settings, from a file or from the defaults."""

import dataclasses

from ..settings import InstanceSettings, Settings, load_settings


def load_daemon_settings(path: str | None, standalone: bool) -> Settings:
    """Return the settings to run the daemon with.

    Parameters
    ----------
    path : str or None
        INI file to read; None uses the default of every key.
    standalone : bool
        Whether the system chooses free ports if there is no file.

    Returns
    -------
    Settings
        The settings.

    Raises
    ------
    SettingsError
        If the file can't be read or is invalid.
    """
    if path is not None:
        return load_settings(path)
    settings = Settings()
    if not standalone:
        return settings
    instance = InstanceSettings(http_port=0, peer_port=0)
    return dataclasses.replace(settings, instance=instance)
