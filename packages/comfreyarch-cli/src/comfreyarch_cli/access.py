"""Access to the store and to the nodes' operator endpoints."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

import gevent
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError

from comfreyarch_cli.errors import CommandError, ExitCode
from comfreyarch_daemon.settings import split_address
from comfreyarch_daemon.store import (
    Instance,
    StoreClient,
    StoreError,
    make_store,
)

REQUEST_TIMEOUT_S = 2.0
HTTP_OK = 200


@dataclass(frozen=True, slots=True)
class NodePage:
    """Hold a page of a node, or None if it could not be read."""

    instance: Instance
    page: dict[str, Any] | None


def open_store(url: str) -> StoreClient:
    """Create a client for the store.

    :returns: the client.
    """
    return make_store(url, REQUEST_TIMEOUT_S)


def list_instances(store: StoreClient) -> list[Instance]:
    """Read the instance list.

    :returns: the instances in the order of their node names.
    :raises CommandError: if the store cannot be read.
    """
    try:
        return sorted(store.instances(), key=lambda instance: instance.node)
    except StoreError as error:
        raise CommandError(
            f'cannot read the instance list: {error}; check --store',
            ExitCode.store_down,
        ) from error


def read_page(instance: Instance, path: str) -> NodePage:
    """Read a page of one node.

    :returns: the page, with None as content if it could not be read.
    """
    _status, page = fetch_json(instance.operators, 'GET', path)
    return NodePage(instance, page)


def fetch_json(address: str, method: str, path: str) -> tuple[int, Any]:
    """Fetch a JSON document from a node.

    :param address: ``host:port``.
    :returns: status and document, 0 and None if there is none.
    """
    host, port = split_address(address)
    http = HTTPClient(
        host,
        port,
        connection_timeout=REQUEST_TIMEOUT_S,
        network_timeout=REQUEST_TIMEOUT_S,
    )
    try:
        response = http.request(method, path)
        page = json.loads(bytes(response.read()))
    except (OSError, HTTPParseError, ValueError):
        return 0, None
    finally:
        http.close()
    return int(response.status_code), page


def read_listing(entry: str, path: str) -> list[dict[str, Any]]:
    """Read what an entry lists at one of its pages.

    :param entry: address of its metrics, ``host:port``.
    :returns: a row for each item.
    :raises CommandError: if the entry lists nothing there.
    """
    status, listed = fetch_json(entry, 'GET', path)
    if status != HTTP_OK or not isinstance(listed, list):
        raise CommandError(
            f'{entry} does not list {path}; give the address of its metrics'
        )
    return listed


def read_pages(
    instances: Iterable[Instance],
    path: str,
) -> Iterator[NodePage]:
    """Read a page of all nodes concurrently and yield the results."""
    jobs = [gevent.spawn(read_page, instance, path) for instance in instances]
    gevent.joinall(jobs)
    for job in jobs:
        yield job.value
