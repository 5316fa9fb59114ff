"""Reach the platform's service and the nodes' operators' addresses."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

import gevent
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError

from comfreyarch_cli.errors import CommandError, Exit
from comfreyarch_daemon.settings import split_address
from comfreyarch_daemon.store import (
    Instance,
    StoreClient,
    StoreError,
    make_store,
)

TIMEOUT_S = 2.0
HTTP_OK = 200


@dataclass(frozen=True, slots=True)
class NodePage:
    """Hold a node's page, None where it could not be read."""

    instance: Instance
    page: dict[str, Any] | None


def open_store(url: str) -> StoreClient:
    """Open the platform's service.

    :returns: a client.
    """
    return make_store(url, TIMEOUT_S)


def list_instances(store: StoreClient) -> list[Instance]:
    """Read the instance list.

    :raises CommandError: if the store cannot be read.
    """
    try:
        return sorted(store.instances(), key=lambda one: one.node)
    except StoreError as error:
        raise CommandError(f'store: {error}', Exit.store_down) from error


def read_page(instance: Instance, path: str) -> NodePage:
    """Read a page of one node.

    :returns: the page, or None in its place.
    """
    host, port = split_address(instance.operators)
    http = HTTPClient(
        host,
        port,
        connection_timeout=TIMEOUT_S,
        network_timeout=TIMEOUT_S,
    )
    try:
        response = http.get(path)
        page = json.loads(bytes(response.read()))
    except (OSError, HTTPParseError, ValueError):
        return NodePage(instance, None)
    finally:
        http.close()
    return NodePage(instance, page)


def read_pages(
    instances: Iterable[Instance],
    path: str,
) -> Iterator[NodePage]:
    """Yield a page of every node, read at the same time."""
    jobs = [gevent.spawn(read_page, one, path) for one in instances]
    gevent.joinall(jobs)
    for job in jobs:
        yield job.value
