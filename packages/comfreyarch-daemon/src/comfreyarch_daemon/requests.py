"""Read a caller's HTTP request and check it before anything runs."""

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

CHAT_PATH = '/v1/chat/completions'
SERVICE_PREFIX = '/services'
MAX_BODY_BYTES = 4_000_000
DEFAULT_DEADLINE_S = 60.0
MAX_DEADLINE_S = 600.0
PREFIX_BYTES = 512
MS_A_SECOND = 1000
TOKENS_A_COST = 64
DEFAULT_MAX_TOKENS = 64
KEY_PATTERN = re.compile(r'[\x21-\x7e]{1,128}')
BEARER = 'Bearer '
FORWARDED = frozenset(('content-type', 'accept', 'accept-language'))
MAX_IDENTITY = 128


class BadRequest(Exception):
    """Carry the refusal of a request that is not taken."""

    def __init__(self, refusal: Refusal) -> None:
        """Hold the refusal."""
        super().__init__(refusal.detail)
        self.refusal = refusal


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """Hold a checked request.

    ``deadline`` and ``began`` are times of the monotonic clock; ``key`` is empty where
    the request may be repeated; ``prefix`` hashes the prompt's beginning;
    ``group`` is the model, which several groups may serve, or the service
    group; ``digest`` is the SHA-256 of group, method, path and body.
    """

    request: str
    team: str
    weight: float
    group: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    deadline: float
    digest: str
    began: float
    key: str = ''
    stream: bool = False
    resumable: bool = False
    prefix: int = 0
    cost: float = 1

    @property
    def idempotent(self) -> bool:
        """Tell whether the request may run more than once.

        :returns: True for everything without a claim.
        """
        return not self.key


class RequestReader:
    """Read requests under one configuration."""

    __slots__ = ('config', 'group_by_model', 'routes', 'team_by_hash')

    def __init__(self, config: ConfigSet) -> None:
        """Index teams by token, groups by model, routes by prefix."""
        self.config = config
        self.team_by_hash = {
            team.token_sha256: name for name, team in config.teams.items()
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

        :returns: the checked request.
        :raises BadRequest: with the refusal.
        """
        name, team = self.team(environ)
        body = read_body(environ)
        path = str(environ.get('PATH_INFO', ''))
        if path == CHAT_PATH:
            return self.chat(environ, name, team, body)
        if path.startswith(f'{SERVICE_PREFIX}/'):
            return self.service(environ, name, team, body)
        raise BadRequest(not_run(Kind.unknown_route, detail=path))

    def team(self, environ: dict[str, Any]) -> tuple[str, Team]:
        """Find the team of the bearer token.

        :raises BadRequest: if there is none.
        """
        given = str(environ.get('HTTP_AUTHORIZATION', ''))
        token = given.removeprefix(BEARER)
        hashed = hashlib.sha256(token.encode()).hexdigest()
        name = self.team_by_hash.get(hashed)
        if name is None or not given.startswith(BEARER):
            raise BadRequest(not_run(Kind.unauthorized))
        return name, self.config.teams[name]

    def chat(
        self,
        environ: dict[str, Any],
        team_name: str,
        team: Team,
        body: bytes,
    ) -> CallerRequest:
        """Read a chat completion.

        :raises BadRequest: if the body is no such request.
        """
        asked = read_chat(body)
        model = str(asked.get('model'))
        group = self.group_by_model.get(model)
        if group is None:
            detail = f'model {model!r}'
            raise BadRequest(not_run(Kind.unknown_route, detail=detail))
        tokens = asked.get('max_tokens', DEFAULT_MAX_TOKENS)
        if not isinstance(tokens, int) or tokens < 1:
            raise BadRequest(not_run(Kind.bad_request, detail='max_tokens'))
        prompt = json.dumps(asked['messages'])[:PREFIX_BYTES]
        return CallerRequest(
            request=identity(environ),
            team=team_name,
            weight=team.weight,
            group=model,
            method='POST',
            path=CHAT_PATH,
            headers={'content-type': 'application/json'},
            body=body,
            deadline=deadline(environ),
            began=time.monotonic(),
            digest=digest(model, 'POST', CHAT_PATH, body),
            stream=bool(asked.get('stream')),
            resumable=group.resumable,
            prefix=xxhash.xxh3_64_intdigest(prompt.encode()),
            cost=max(1, tokens / TOKENS_A_COST),
        )

    def service(
        self,
        environ: dict[str, Any],
        team_name: str,
        team: Team,
        body: bytes,
    ) -> CallerRequest:
        """Read a call of a plain service.

        :raises BadRequest: without a route, or without a needed key.
        """
        path = str(environ['PATH_INFO']).removeprefix(SERVICE_PREFIX)
        route = self.route(path)
        key = str(environ.get('HTTP_IDEMPOTENCY_KEY', ''))
        if not route.idempotent:
            if not key:
                raise BadRequest(not_run(Kind.key_required))
            if not KEY_PATTERN.fullmatch(key):
                detail = 'Idempotency-Key: 1 to 128 visible characters'
                raise BadRequest(not_run(Kind.bad_request, detail=detail))
        query = environ.get('QUERY_STRING')
        full = f'{path}?{query}' if query else path
        method = str(environ['REQUEST_METHOD'])
        headers = forwarded(environ)
        if key:
            headers['idempotency-key'] = key
        return CallerRequest(
            request=identity(environ),
            team=team_name,
            weight=team.weight,
            group=route.group,
            method=method,
            path=full,
            headers=headers,
            body=body,
            deadline=deadline(environ),
            began=time.monotonic(),
            digest=digest(route.group, method, full, body),
            key='' if route.idempotent else f'{team_name}/{key}',
        )

    def route(self, path: str) -> Route:
        """Find the longest route prefix of a path.

        :raises BadRequest: if there is none.
        """
        for route in self.routes:
            prefix = route.prefix.rstrip('/')
            if path == prefix or path.startswith(f'{prefix}/'):
                return route
        raise BadRequest(not_run(Kind.unknown_route, detail=path))


def read_body(environ: dict[str, Any]) -> bytes:
    """Read the whole body.

    :raises BadRequest: if it is too large or cut off.
    """
    length = int(environ.get('CONTENT_LENGTH') or 0)
    if length > MAX_BODY_BYTES:
        raise BadRequest(not_run(Kind.too_large))
    stream = environ['wsgi.input']
    chunked = environ.get('HTTP_TRANSFER_ENCODING', '') == 'chunked'
    wanted = MAX_BODY_BYTES + 1 if chunked else length
    body = bytes(stream.read(wanted)) if wanted else b''
    if len(body) > MAX_BODY_BYTES:
        raise BadRequest(not_run(Kind.too_large))
    if not chunked and len(body) < length:
        raise BadRequest(not_run(Kind.bad_request, detail='body cut off'))
    return body


def read_chat(body: bytes) -> dict[str, Any]:
    """Decode a chat body.

    :raises BadRequest: if it is no JSON object with messages.
    """
    try:
        asked = json.loads(body)
    except ValueError as error:
        refusal = not_run(Kind.bad_request, detail=f'not JSON: {error}')
        raise BadRequest(refusal) from error
    if not isinstance(asked, dict) or not isinstance(
        asked.get('messages'),
        list,
    ):
        raise BadRequest(not_run(Kind.bad_request, detail='no messages'))
    return asked


def identity(environ: dict[str, Any]) -> str:
    """Give the caller's request identity.

    :returns: the header's text, or an empty one.
    """
    return str(environ.get('HTTP_X_REQUEST_ID', ''))[:MAX_IDENTITY]


def deadline(environ: dict[str, Any]) -> float:
    """Read the deadline header ``X-Deadline-Ms``.

    :returns: a time of the monotonic clock.
    :raises BadRequest: if it is no positive number.
    """
    raw = environ.get('HTTP_X_DEADLINE_MS')
    if raw is None:
        return time.monotonic() + DEFAULT_DEADLINE_S
    if not str(raw).isdigit() or int(raw) < 1:
        detail = 'X-Deadline-Ms: a positive whole number'
        raise BadRequest(not_run(Kind.bad_request, detail=detail))
    left_s = min(MAX_DEADLINE_S, int(raw) / MS_A_SECOND)
    return time.monotonic() + left_s


def forwarded(environ: dict[str, Any]) -> dict[str, str]:
    """Pick the headers that a plain service gets.

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
    return {name: headers[name] for name in FORWARDED & headers.keys()}


def digest(group: str, method: str, path: str, body: bytes) -> str:
    """Digest what a request asks for.

    :returns: a SHA-256 in hex.
    """
    hasher = hashlib.sha256(f'{group}\n{method}\n{path}\n'.encode())
    hasher.update(body)
    return hasher.hexdigest()
