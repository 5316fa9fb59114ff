"""Read and check the settings file of a daemon."""

import tomllib
from pathlib import Path

import msgspec

ROLES = ('entry', 'sidecar')


class SettingsError(ValueError):
    """Report invalid settings and how to correct them."""


class UpstreamSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Identify the upstream of a sidecar.

    ``fenced`` is true if the engine itself refuses outdated fencing tokens.
    """

    name: str
    url: str
    fenced: bool = False


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Represent the immutable settings of one daemon.

    Addresses are ``host:port``. ``drain_s`` is the maximum duration of a
    graceful stop, ``poll_s`` the longest interval between polls of the store
    and ``queue_limit`` the number of attempts that a sidecar queues.
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
    :raises SettingsError: if the file is unreadable or invalid; the message
        names the file, the fault and the remedy.
    """
    try:
        raw = tomllib.loads(path.read_text())
    except (OSError, tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(
            f'{path}: {error}; provide a readable TOML file'
        ) from error
    try:
        settings = msgspec.convert(raw, Settings)
    except msgspec.ValidationError as error:
        raise SettingsError(f'{path}: {error}; correct this field') from error
    check_role(path, settings)
    for address in list_addresses(settings):
        check_address(path, address)
    return settings


def list_addresses(settings: Settings) -> list[str]:
    """List the addresses in the settings that must be ``host:port``.

    :returns: the addresses of this node and of its peers.
    """
    listed = [settings.link, settings.operators, *settings.peers]
    if settings.callers:
        listed.append(settings.callers)
    return listed


def check_role(path: Path, settings: Settings) -> None:
    """Check the role and the settings that it requires.

    :raises SettingsError: if the role is unknown or a setting is missing.
    """
    if settings.role not in ROLES:
        remedy = f'use one of {", ".join(ROLES)}'
        raise SettingsError(f'{path}: unknown role {settings.role!r}; {remedy}')
    if settings.role == 'sidecar' and settings.upstream is None:
        raise SettingsError(
            f'{path}: sidecar {settings.node!r} has no upstream; '
            'add a section [upstream]',
        )
    if settings.role == 'entry' and not settings.callers:
        raise SettingsError(
            f'{path}: entry {settings.node!r} has no address for callers; '
            'set callers',
        )


def check_address(path: Path, address: str) -> None:
    """Check that an address has the form ``host:port``.

    :raises SettingsError: if it has another form.
    """
    host, _, port = address.rpartition(':')
    if not host or not port.isdigit():
        raise SettingsError(
            f'{path}: invalid address {address!r}; use host:port'
        )


def split_address(address: str) -> tuple[str, int]:
    """Split an address of the form ``host:port``.

    :returns: the host and the port.
    """
    host, _, port = address.rpartition(':')
    return host, int(port)


def load_fleet_key(settings: Settings) -> bytes:
    """Read the key that all nodes of a fleet share.

    :returns: the key without surrounding whitespace.
    :raises SettingsError: if the file cannot be read or is too short.
    """
    min_key_bytes = 16
    path = Path(settings.fleet_key_file)
    try:
        key = path.read_bytes().strip()
    except OSError as error:
        raise SettingsError(
            f'{path}: {error}; provide a readable key file'
        ) from error
    if len(key) < min_key_bytes:
        raise SettingsError(
            f'{path}: fleet key has {len(key)} bytes; '
            f'use {min_key_bytes} or more',
        )
    return key
