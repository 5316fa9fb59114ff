"""Read and validate a caller's HTTP request."""

import hashlib
import json
import re
import time
from dataclasses import dataclass
from typing import Any

import xxhash

from comfreyarch_core.configset import ConfigSet
from comfreyarch_core.objects import Route, Team
from comfreyarch_core.refusals import Kind, Refusal, not_run
from comfreyarch_daemon.jsondecoding import decode_json

CHAT_PATH = '/v1/chat/completions'
SERVICE_PREFIX = '/services'
MAX_BODY_BYTES = 4_000_000
DEFAULT_DEADLINE_S = 60.0
MAX_DEADLINE_S = 600.0
# Length of the prompt's start that is hashed to find a cached prefix.
PREFIX_BYTES = 512
MS_PER_S = 1000
# Answer tokens that count as one unit of cost.
TOKENS_PER_COST_UNIT = 64
# Answer tokens assumed for a request without ``max_tokens``.
DEFAULT_MAX_TOKENS = 64
KEY_PATTERN = re.compile(r'[\x21-\x7e]{1,128}')
BEARER = 'Bearer '
FORWARDED_HEADERS = frozenset(('content-type', 'accept', 'accept-language'))
MAX_REQUEST_ID_CHARS = 128


class BadRequest(Exception):
    """Raised when a request is invalid or not authorized."""

    def __init__(self, refusal: Refusal) -> None:
        """Store the refusal."""
        super().__init__(refusal.detail)
        self.refusal = refusal


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """Represent a validated request.

    :param request_id: the caller's ``X-Request-Id``, empty if absent.
    :param weight: the team's share relative to other teams.
    :param group: the model, which several groups may serve, or the service
        group.
    :param deadline: absolute time of the monotonic clock.
    :param digest: SHA-256 of group, method, path and body.
    :param received_at: arrival time on the monotonic clock.
    :param key: team and idempotency key, empty if the request may be repeated.
    :param resumable: whether a broken stream can be resumed.
    :param prefix_hash: hash of the start of the prompt, 0 for none.
    :param cost: work of the request for fair queueing.
    """

    request_id: str
    team: str
    weight: float
    group: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    deadline: float
    digest: str
    received_at: float
    key: str = ''
    stream: bool = False
    resumable: bool = False
    prefix_hash: int = 0
    cost: float = 1

    @property
    def idempotent(self) -> bool:
        """Check whether the request may run more than once.

        :returns: True for every request without an idempotency key.
        """
        return not self.key


class RequestReader:
    """Read requests according to one configuration."""

    __slots__ = ('config', 'group_by_model', 'routes', 'team_by_token_sha256')

    def __init__(self, config: ConfigSet) -> None:
        """Index teams by token and groups by model; sort routes by prefix."""
        self.config = config
        self.team_by_token_sha256 = {
            team.token_sha256: team_name
            for team_name, team in config.teams.items()
        }
        self.group_by_model = {
            group.model: group for group in config.model_groups.values()
        }
        self.routes = sorted(
            config.routes.values(),
            key=lambda route: len(route.prefix),
            reverse=True,
        )

    def read(self, environ: dict[str, Any]) -> CallerRequest:
        """Read a WSGI request.

        :returns: the validated request.
        :raises BadRequest: if the request is refused.
        """
        team_name, team = self.authenticate(environ)
        body = read_body(environ)
        path = str(environ.get('PATH_INFO', ''))
        if path == CHAT_PATH:
            return self.read_chat_request(environ, team_name, team, body)
        if path.startswith(f'{SERVICE_PREFIX}/'):
            return self.read_service_request(environ, team_name, team, body)
        raise BadRequest(not_run(Kind.unknown_route, detail=path))

    def authenticate(self, environ: dict[str, Any]) -> tuple[str, Team]:
        """Find the team of the request's bearer token.

        :returns: the team's name and configuration.
        :raises BadRequest: if the token is missing or unknown.
        """
        authorization = str(environ.get('HTTP_AUTHORIZATION', ''))
        token = authorization.removeprefix(BEARER)
        token_sha256 = hashlib.sha256(token.encode()).hexdigest()
        team_name = self.team_by_token_sha256.get(token_sha256)
        if team_name is None or not authorization.startswith(BEARER):
            raise BadRequest(not_run(Kind.unauthorized))
        return team_name, self.config.teams[team_name]

    def read_chat_request(
        self,
        environ: dict[str, Any],
        team_name: str,
        team: Team,
        body: bytes,
    ) -> CallerRequest:
        """Read a chat completion request.

        :raises BadRequest: if the body is invalid or its model is unknown.
        """
        payload = parse_chat(body)
        model = str(payload.get('model'))
        group = self.group_by_model.get(model)
        if group is None:
            detail = f'model {model!r}'
            raise BadRequest(not_run(Kind.unknown_route, detail=detail))
        tokens = payload.get('max_tokens', DEFAULT_MAX_TOKENS)
        if not isinstance(tokens, int) or tokens < 1:
            raise BadRequest(not_run(Kind.bad_request, detail='max_tokens'))
        prompt = json.dumps(payload['messages'])[:PREFIX_BYTES]
        return CallerRequest(
            request_id=read_request_id(environ),
            team=team_name,
            weight=team.weight,
            group=model,
            method='POST',
            path=CHAT_PATH,
            headers={'content-type': 'application/json'},
            body=body,
            deadline=read_deadline(environ),
            received_at=time.monotonic(),
            digest=digest_request(model, 'POST', CHAT_PATH, body),
            stream=bool(payload.get('stream')),
            resumable=group.resumable,
            prefix_hash=xxhash.xxh3_64_intdigest(prompt.encode()),
            cost=max(1, tokens / TOKENS_PER_COST_UNIT),
        )

    def read_service_request(
        self,
        environ: dict[str, Any],
        team_name: str,
        team: Team,
        body: bytes,
    ) -> CallerRequest:
        """Read a request to a service other than a model.

        :raises BadRequest: if the path has no route, or the route requires an
            idempotency key that is missing or malformed.
        """
        path = str(environ['PATH_INFO']).removeprefix(SERVICE_PREFIX)
        route = self.find_route(path)
        key = str(environ.get('HTTP_IDEMPOTENCY_KEY', ''))
        if not route.idempotent:
            if not key:
                raise BadRequest(not_run(Kind.key_required))
            if not KEY_PATTERN.fullmatch(key):
                detail = 'Idempotency-Key: 1 to 128 visible characters'
                raise BadRequest(not_run(Kind.bad_request, detail=detail))
        query = environ.get('QUERY_STRING')
        target = f'{path}?{query}' if query else path
        method = str(environ['REQUEST_METHOD'])
        headers = select_headers(environ)
        if key:
            headers['idempotency-key'] = key
        return CallerRequest(
            request_id=read_request_id(environ),
            team=team_name,
            weight=team.weight,
            group=route.group,
            method=method,
            path=target,
            headers=headers,
            body=body,
            deadline=read_deadline(environ),
            received_at=time.monotonic(),
            digest=digest_request(route.group, method, target, body),
            key='' if route.idempotent else f'{team_name}/{key}',
        )

    def find_route(self, path: str) -> Route:
        """Find the route with the longest prefix that matches a path.

        :raises BadRequest: if no route matches.
        """
        for route in self.routes:
            prefix = route.prefix.rstrip('/')
            if path == prefix or path.startswith(f'{prefix}/'):
                return route
        raise BadRequest(not_run(Kind.unknown_route, detail=path))


def read_body(environ: dict[str, Any]) -> bytes:
    """Read the whole body of a request.

    :raises BadRequest: if the body is too large or incomplete.
    """
    length = int(environ.get('CONTENT_LENGTH') or 0)
    if length > MAX_BODY_BYTES:
        raise BadRequest(not_run(Kind.too_large))
    stream = environ['wsgi.input']
    chunked = environ.get('HTTP_TRANSFER_ENCODING', '') == 'chunked'
    read_limit = MAX_BODY_BYTES + 1 if chunked else length
    body = bytes(stream.read(read_limit)) if read_limit else b''
    if len(body) > MAX_BODY_BYTES:
        raise BadRequest(not_run(Kind.too_large))
    if not chunked and len(body) < length:
        raise BadRequest(not_run(Kind.bad_request, detail='body cut off'))
    return body


def parse_chat(body: bytes) -> dict[str, Any]:
    """Decode the body of a chat completion request.

    :raises BadRequest: if the body is not a JSON object with a list of
        messages.
    """
    try:
        payload = decode_json(body)
    except ValueError as error:
        refusal = not_run(Kind.bad_request, detail=f'not JSON: {error}')
        raise BadRequest(refusal) from error
    if not isinstance(payload, dict) or not isinstance(
        payload.get('messages'),
        list,
    ):
        raise BadRequest(not_run(Kind.bad_request, detail='no messages'))
    return payload


def read_request_id(environ: dict[str, Any]) -> str:
    """Read the caller's request ID, truncated to its maximum length.

    :returns: the header ``X-Request-Id``, empty if absent.
    """
    return str(environ.get('HTTP_X_REQUEST_ID', ''))[:MAX_REQUEST_ID_CHARS]


def read_deadline(environ: dict[str, Any]) -> float:
    """Compute the deadline from the header ``X-Deadline-Ms``.

    :returns: absolute time of the monotonic clock.
    :raises BadRequest: if the header is not a positive whole number.
    """
    raw = environ.get('HTTP_X_DEADLINE_MS')
    if raw is None:
        return time.monotonic() + DEFAULT_DEADLINE_S
    if not str(raw).isdigit() or int(raw) < 1:
        detail = 'X-Deadline-Ms: a positive whole number'
        raise BadRequest(not_run(Kind.bad_request, detail=detail))
    time_left_s = min(MAX_DEADLINE_S, int(raw) / MS_PER_S)
    return time.monotonic() + time_left_s


def select_headers(environ: dict[str, Any]) -> dict[str, str]:
    """Select the headers that are forwarded to a service.

    :returns: headers by lower-case name.
    """
    headers = {
        name.removeprefix('HTTP_').replace('_', '-').lower(): str(text)
        for name, text in environ.items()
        if name.startswith('HTTP_')
    }
    content_type = environ.get('CONTENT_TYPE')
    if content_type:
        headers['content-type'] = str(content_type)
    return {name: headers[name] for name in FORWARDED_HEADERS & headers.keys()}


def digest_request(group: str, method: str, path: str, body: bytes) -> str:
    """Compute the digest that identifies a request's content.

    :returns: SHA-256 in hexadecimal.
    """
    hasher = hashlib.sha256(f'{group}\n{method}\n{path}\n'.encode())
    hasher.update(body)
    return hasher.hexdigest()
