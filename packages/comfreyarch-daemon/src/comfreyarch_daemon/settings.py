"""Read and check the settings file of a daemon."""

import tomllib
from pathlib import Path

import msgspec

ROLES = ('entry', 'sidecar')


class SettingsError(ValueError):
    """Report settings that cannot be used and how to mend them."""


class UpstreamSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Say which upstream a sidecar stands beside.

    ``fenced`` tells whether the engine itself refuses old fences.
    """

    name: str
    url: str
    fenced: bool = False


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Hold the settings of one daemon, passed down and never changed.

    Addresses are ``host:port``; ``drain_s`` bounds a graceful stop.
    """

    role: str
    node: str
    region: str
    availability_zone: str
    link: str
    operators: str
    store: str
    fleet_key_file: str
    callers: str = ''
    peers: list[str] = []
    upstream: UpstreamSettings | None = None
    drain_s: float = 30
    store_timeout_s: float = 1
    poll_s: float = 5
    queue_limit: int = 64
    log_level: str = 'info'
    seed: int = 0


def load_settings(path: Path) -> Settings:
    """Read a settings file.

    :param path: a TOML file.
    :returns: the checked settings.
    :raises SettingsError: with the file, the fault and the remedy.
    """
    try:
        raw = tomllib.loads(path.read_text())
    except (OSError, tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f'{path}: {error}; give a TOML file') from error
    try:
        settings = msgspec.convert(raw, Settings)
    except msgspec.ValidationError as error:
        raise SettingsError(f'{path}: {error}; correct the field') from error
    check_role(path, settings)
    for address in addresses(settings):
        check_address(path, address)
    return settings


def addresses(settings: Settings) -> list[str]:
    """List the addresses that settings name.

    :returns: each as ``host:port``.
    """
    named = [settings.link, settings.operators, *settings.peers]
    if settings.callers:
        named.append(settings.callers)
    return named


def check_role(path: Path, settings: Settings) -> None:
    """Check what a role needs.

    :raises SettingsError: if something is missing.
    """
    if settings.role not in ROLES:
        remedy = f'use one of {", ".join(ROLES)}'
        raise SettingsError(f'{path}: role {settings.role!r}; {remedy}')
    if settings.role == 'sidecar' and settings.upstream is None:
        raise SettingsError(f'{path}: no upstream; add [upstream]')
    if settings.role == 'entry' and not settings.callers:
        raise SettingsError(f'{path}: no callers address; set callers')


def check_address(path: Path, address: str) -> None:
    """Check one address.

    :raises SettingsError: if it is not ``host:port``.
    """
    host, _, port = address.rpartition(':')
    if not host or not port.isdigit():
        raise SettingsError(f'{path}: address {address!r}; use host:port')


def split_address(address: str) -> tuple[str, int]:
    """Split ``host:port``.

    :returns: host and port.
    """
    host, _, port = address.rpartition(':')
    return host, int(port)


def load_fleet_key(settings: Settings) -> bytes:
    """Read the key that all nodes of a fleet share.

    :returns: the key's bytes.
    :raises SettingsError: if the file cannot be read or is too short.
    """
    shortest = 16
    path = Path(settings.fleet_key_file)
    try:
        key = path.read_bytes().strip()
    except OSError as error:
        raise SettingsError(f'{path}: {error}; give a key file') from error
    if len(key) < shortest:
        raise SettingsError(f'{path}: key too short; use 16 bytes or more')
    return key
