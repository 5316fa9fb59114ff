"""Test in virtual time which parts are barred, and how soon.

The bounds are those of the users' rules BUDGET and LOST: from 3 s after the
fifth crash at most three more sends, and sound requests hardly refused.
"""

import pytest
from crash_world import CrashWorld, Setup

MAX_LATER_SENDS = 3
# Rule LOST allows half.
MAX_REFUSED_SHARE = 0.05
SEEDS = range(4)
SETUPS = {
    'plain': {},
    'upstreams-2': {'upstreams': 2, 'rate': 7, 'entries': 2},
    'upstreams-40': {'upstreams': 40, 'rate': 140},
    'parts-2': {'parts': 2},
    'parts-10': {'parts': 10},
    'slots-1': {'slots': 1, 'rate': 4, 'answer_s': 0.5},
    'slots-32': {'slots': 32, 'rate': 200, 'answer_s': 2},
    'share-half': {'bad_share': 0.5},
    'share-small': {'bad_share': 0.02},
    'lost-reports': {'loss': 0.1},
    'late-reports': {'delay_s': 0.1},
    'two-bad-parts': {'bad_parts': 2},
    'some-crashes': {'crash_probability': 0.7},
    'entry-restarts': {'entry_restarts': ((11, 0), (11, 1), (24, 2), (24, 3))},
}


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize('name', SETUPS)
def test_a_crashing_part_is_barred_soon_and_sound_requests_go_on(name, seed):
    """Guards against evidence that is keyed by one request (issue 28)."""
    setup = Setup(seed, **SETUPS[name])
    world = CrashWorld(setup).play()
    for number in range(setup.bad_parts):
        part = f'part:bad{number}'
        assert world.later_sends(part) <= MAX_LATER_SENDS
        assert any(part in guard.bars.by_trait for guard in world.guards)
    assert 'part:common' not in world.sound_barred
    assert world.sound_refused <= MAX_REFUSED_SHARE * world.sound_sent


@pytest.mark.parametrize('seed', SEEDS)
def test_without_a_crashing_part_nothing_is_barred(seed):
    world = CrashWorld(Setup(seed, bad_share=0)).play()
    assert not any(guard.bars.by_trait for guard in world.guards)
    assert not world.sound_refused
