"""Tests of the settings file: defaults, conversion and error messages."""

import pytest

from flamingoweir.settings import Settings, SettingsError, parse_settings


def test_empty_file_gives_defaults():
    assert parse_settings("") == Settings()


def test_values_are_converted():
    settings = parse_settings("[timings]\ntick_s = 0.2\n[instance]\nzone = powys\n")
    assert settings.timings.tick_s == 0.2
    assert settings.instance.zone == "powys"


@pytest.mark.parametrize(
    ("text", "parts"),
    [
        ("[instances]\nname = a\n", ["[instances]", "use one of: instance, "]),
        ("[instance]\nnmae = a\n", ["[instance] nmae", "unknown key", "name, zone"]),
        ("[timings]\ntick_s = soon\n", ["[timings] tick_s = 'soon'", "0.05"]),
        ("[timings]\ntick_s = -1\n", ["[timings] tick_s", "greater than 0"]),
        ("[instance]\nhost = powys\n", ["[instance] host = 'powys'", "127.0.0.1"]),
        ("[platform]\naddress = 10.0.0.1\n", ["[platform] address"]),
        ("[requests]\nchoice = best\n", ["[requests] choice", "two_choices"]),
        ("[timings]\nworker_lease_s = 1\n", ["worker_lease_s", "heartbeat_s (1.0)"]),
        ("name = a\n", ["not an INI file"]),
    ],
)
def test_invalid_file_is_described_in_one_line(text, parts):
    """The message names the file, the section, the key and what would be valid."""
    with pytest.raises(SettingsError) as raised:
        parse_settings(text, "site.ini")
    message = str(raised.value)
    assert message.startswith("site.ini: ")
    assert "\n" not in message
    for part in parts:
        assert part in message
