"""Explain where an entry would send a request now."""

from typing import Annotated, Any
from urllib.parse import urlencode

import typer

from comfreyarch_cli.access import HTTP_OK, fetch_json
from comfreyarch_cli.errors import CommandError
from comfreyarch_cli.output import print_json, print_line


def place(
    target: Annotated[
        str,
        typer.Argument(help='HOST/PATH of the request, or name of a route.'),
    ],
    entry: Annotated[
        str,
        typer.Option(help='Address of the metrics of an entry, HOST:PORT.'),
    ],
    team: Annotated[str, typer.Option(help='Name of the team.')] = '',
    prompt_tokens: Annotated[int, typer.Option(min=0)] = 0,
    answer_tokens: Annotated[int, typer.Option(min=0)] = 0,
    deadline: Annotated[
        float | None,
        typer.Option(help='Seconds that the caller waits for the answer.'),
    ] = None,
    *,
    as_json: Annotated[
        bool, typer.Option('--json', help='Print JSON instead of text.')
    ] = False,
) -> None:
    """Explain where a request would go now, without sending it."""
    query: dict[str, str | float] = {
        'target': target,
        'team': team,
        'prompt_tokens': prompt_tokens,
        'answer_tokens': answer_tokens,
    }
    if deadline is not None:
        query['deadline_s'] = deadline
    page = read_placement(entry, urlencode(query))
    if as_json:
        print_json(page)
        return
    for line in format_page(page):
        print_line(line)


def read_placement(entry: str, query: str) -> dict[str, Any]:
    """Read an entry's explanation.

    :raises CommandError: if the entry gives none.
    """
    status, page = fetch_json(entry, 'GET', f'/place?{query}')
    if status != HTTP_OK or not isinstance(page, dict):
        raise CommandError(
            f'{entry} explains no placement; give the address of its metrics'
        )
    return page


def format_page(page: dict[str, Any]) -> list[str]:
    """Format an explanation.

    :returns: its lines.
    """
    if 'refused' in page:
        return [format_refusal(page['refused'])]
    lines = [f'route {page["route"]}']
    for placement in page['placements']:
        lines.extend(format_placement(placement))
    return lines


def format_refusal(refused: dict[str, Any]) -> str:
    """Format a refusal."""
    return (
        f'refused: {refused["kind"]} ({refused["status"]}), Retry-After'
        f' {refused["retry_after_s"]} s: {refused["why"]}'
    )


def format_placement(placement: dict[str, Any]) -> list[str]:
    """Format the placement at one service.

    :returns: its lines.
    """
    service = placement['service']
    lines = [f'service {service}, urgency {placement["urgency"]}']
    if 'refused' in placement:
        lines.append(f'  {format_refusal(placement["refused"])}')
    elif 'queued' in placement:
        queued = placement['queued']
        lines.append(
            f'  queued: position {queued["position"]},'
            f' predicted wait {queued["wait_s"]} s'
        )
    else:
        lines.append(f'  chosen: {placement["chosen"]}')
    lines.extend(
        f'  candidate {each["upstream"]}: load score {each["load_score"]}'
        for each in placement['candidates']
    )
    for reason, count in placement['left_out_counts'].items():
        names = [
            name for name, why in placement['left_out'].items() if why == reason
        ]
        lines.append(f'  left out, {reason}: {count} ({", ".join(names)})')
    return lines
