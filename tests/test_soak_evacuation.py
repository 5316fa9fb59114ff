"""Test that the soak finds requests sent to an evacuated zone."""

import pytest
from test_soak import make_evidence, make_record, make_run

from soak.checks import sent_to_evacuated
from soak.faultinjection import EVACUATION_S, Evacuated, Fault

START = 1000.0
END = START + EVACUATION_S + 4


def find(arrived, zone='za', faults=()):
    """Check a run that arrived at a time in a zone; za is evacuated."""
    record = make_record(at=arrived)
    run = make_run(attempt=record.attempt, arrived=arrived, zone=zone)
    evidence = make_evidence(record, [run], faults)
    evidence.evacuations.append(Evacuated('za', START, END))
    return sent_to_evacuated(evidence)


# Fails if the check misses a request in the zone, or counts one that was allowed.
@pytest.mark.parametrize(
    ('arrived', 'zone', 'found'),
    [
        (START + EVACUATION_S + 1, 'za', 1),
        (START + EVACUATION_S + 1, 'zb', 0),
        (START + EVACUATION_S - 1, 'za', 0),
        (END + 0.1, 'za', 0),
    ],
)
def test_requests_in_an_evacuated_zone_are_found(arrived, zone, found):
    assert len(find(arrived, zone)) == found


# Fails if an entry that lost the store is held to the bound.
def test_an_entry_without_the_store_is_excused():
    fault = Fault('store-silent', 'store', START, START + 3)
    assert not find(START + EVACUATION_S + 1, faults=[fault])
