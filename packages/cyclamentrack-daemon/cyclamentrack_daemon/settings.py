"""Settings of one daemon process, read from a TOML file.

They contain only what a process needs to start. Everything else is
configuration of the whole cell, which is changed by tickets.
"""

import enum
import ipaddress
from pathlib import Path
from typing import Annotated

import msgspec
from returns.result import Failure, Result, Success

from cyclamentrack import defaults
from cyclamentrack.errors import SettingsError

_NAME = r'^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$'

Name = Annotated[str, msgspec.Meta(pattern=_NAME)]


class LogFormat(enum.Enum):
    """Format of the log."""

    TEXT = 'text'
    JSON = 'json'


class LogLevel(enum.Enum):
    """Lowest level of the records that are logged."""

    DEBUG = 'DEBUG'
    INFO = 'INFO'
    WARNING = 'WARNING'
    ERROR = 'ERROR'


class _Section(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """A table of the settings file; unknown keys are errors."""


class InstanceSettings(_Section):
    """The name of this process and its availability zone."""

    name: Name
    zone: Name


class ListenSettings(_Section):
    """Addresses (``ip:port``) to listen on for each kind of client."""

    callers: str
    operators: str
    peers: str


class PlatformSettings(_Section):
    """The name of the platform plug-in and the platform's ``ip:port``."""

    address: str
    plugin: Name = 'http'


class CellSettings(_Section):
    """Settings that must be the same on all daemons of a cell."""

    partitions: Annotated[int, msgspec.Meta(ge=1, le=4096)] = (
        defaults.PARTITIONS
    )


class LogSettings(_Section):
    """Log format and level."""

    format: LogFormat = LogFormat.TEXT
    level: LogLevel = LogLevel.INFO


class Settings(_Section):
    """All settings of a daemon process."""

    instance: InstanceSettings
    listen: ListenSettings
    platform: PlatformSettings
    cell: CellSettings = CellSettings()
    log: LogSettings = LogSettings()


def load_settings(path: Path) -> Result[Settings, SettingsError]:
    """Read and check a settings file.

    The error names the key, what is wrong with its value and the remedy.
    """
    try:
        text = path.read_text(encoding='utf-8')
    except OSError as error:
        return Failure(
            SettingsError(
                message=f'cannot read settings file {path}: {error}',
                remedy='pass the path of a readable TOML file',
            ),
        )
    return parse_settings(text)


def parse_settings(text: str) -> Result[Settings, SettingsError]:
    """Check the text of a settings file."""
    try:
        settings = msgspec.toml.decode(text, type=Settings)
    except msgspec.ValidationError as error:
        return Failure(
            SettingsError(
                message=f'settings are not valid: {error}',
                remedy='correct that key; docs/operators.md lists all of them',
            ),
        )
    except msgspec.DecodeError as error:
        return Failure(
            SettingsError(
                message=f'settings are not valid TOML: {error}',
                remedy='correct the syntax at the given position',
            ),
        )
    return _check_addresses(settings)


def _check_addresses(settings: Settings) -> Result[Settings, SettingsError]:
    addresses = {
        'listen.callers': settings.listen.callers,
        'listen.operators': settings.listen.operators,
        'listen.peers': settings.listen.peers,
        'platform.address': settings.platform.address,
    }
    for key, address in addresses.items():
        if not _is_address(address):
            return Failure(
                SettingsError(
                    message=f'{key} is {address!r}, which is not an address',
                    remedy='write it as "ip:port", such as "10.0.0.5:7400"',
                ),
            )
    return Success(settings)


def _is_address(address: str) -> bool:
    host, _, port = address.rpartition(':')
    try:
        ipaddress.ip_address(host.strip('[]'))
    except ValueError:
        return False
    return port.isdigit() and 0 < int(port) < 2**16
