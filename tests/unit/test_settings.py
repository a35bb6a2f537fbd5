"""Settings of the daemon."""

import pytest

from lentildeal._internal import exceptions
from lentildeal._internal.settings import settings

VALID = """{
  // comment
  "instance": "a1",
  "failure_domain": "a",
  "http_address": "127.0.0.1:0",
  "peer_address": "127.0.0.1:0",
  "platform": {
    "log": {"url": "http://127.0.0.1:1"},
    "instances": {"url": "http://127.0.0.1:1"},
    "weights": {"url": "http://127.0.0.1:1"}
  }
}"""


def test_valid_settings_are_read():
    """A file with comments and only required keys is accepted."""
    assert settings.parse(VALID).timing.heartbeat_ms == 500


def test_unknown_key_names_line_and_nearest_key():
    """A misspelled key is an error, instead of being ignored."""
    text = VALID.replace('"failure_domain"', '"failure_domian"')
    with pytest.raises(exceptions.SettingsError) as info:
        settings.parse(text)
    assert 'line 4' in info.value.message
    assert 'nearest key is "failure_domain"' in info.value.message


def test_host_name_is_refused():
    """Addresses have to be IP addresses; a host name is an error."""
    text = VALID.replace('127.0.0.1:0', 'localhost:0')
    with pytest.raises(exceptions.SettingsError, match='localhost'):
        settings.parse(text)


@pytest.mark.parametrize('name', ['memory_mb', 'descriptors'])
def test_too_small_resources_are_refused(name):
    """A daemon that could serve no request must not start."""
    text = VALID.replace(
        '"failure_domain"', f'"resources": {{"{name}": 9}}, "failure_domain"'
    )
    with pytest.raises(exceptions.SettingsError, match='too small'):
        settings.parse(text)
