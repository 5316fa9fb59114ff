"""Test that shares of teams' limits are not used after they have ended."""

from comfreyarch_core.configset import ConfigSet
from comfreyarch_core.limits import GRANT_TTL_S, STATIC_FRACTION
from comfreyarch_core.objects import Team
from comfreyarch_daemon.store import Instance
from comfreyarch_daemon.teamlimiter import EntryLocation, TeamLimiter

RATE = 1000.0
TEAM = 'team'
ENTRIES = {f'e{number}': f'z{number % 2}' for number in range(4)}


class LimiterFleet:
    """Run the limiters of some entries, whose messages wait until delivered.

    :param sent: sender, receiver and frame of the messages under way.
    """

    def __init__(self):
        self.sent = []
        self.limiters = {}
        instances = [
            make_instance(name, zone) for name, zone in ENTRIES.items()
        ]
        for name, zone in ENTRIES.items():
            limiter = TeamLimiter(
                EntryLocation(name, zone),
                lambda node, frame, name=name: self.send(name, node, frame),
            )
            limiter.apply_config(ConfigSet(teams={TEAM: make_team()}))
            limiter.update_instances(instances)
            self.limiters[name] = limiter

    def send(self, sender, receiver, frame):
        """Keep a message."""
        self.sent.append((sender, receiver, frame))
        return True

    def deliver(self, now, is_lost=lambda _sender, _receiver: False):
        """Deliver all messages and the answers to them."""
        while self.sent:
            sender, receiver, frame = self.sent.pop(0)
            if is_lost(sender, receiver):
                continue
            limiter = self.limiters[receiver]
            if hasattr(frame, 'want'):
                answer = limiter.answer_share_request(
                    sender, ENTRIES[sender], frame, now
                )
                self.send(receiver, sender, answer)
            else:
                limiter.apply_grant(frame, now)

    def renew(self, now, is_lost=lambda _sender, _receiver: False):
        """Let all entries have requests and renew their grants."""
        for limiter in self.limiters.values():
            limiter.gates[TEAM].arrivals = 400
        for _ in range(3):
            for limiter in self.limiters.values():
                limiter.renew(now)
            self.deliver(now, is_lost)

    def allowed_rate(self, now):
        """Add up what all entries allow."""
        return sum(
            limiter.gates[TEAM].allowed_rate(now)
            for limiter in self.limiters.values()
        )


def make_instance(name, zone):
    """Create an entry's item of the instance list."""
    return Instance(name, 'entry', f'{name}:1', f'{name}:2', zone)


def make_team():
    """Create a team."""
    return Team('0' * 64, rate=RATE, concurrency=400)


def test_grants_add_up_to_the_limit():
    fleet = LimiterFleet()
    for now in range(10):
        fleet.renew(now)
        assert fleet.allowed_rate(now) <= RATE * 1.001
    assert fleet.allowed_rate(9) >= 0.7 * RATE


# Fails if an entry that did not run for a while uses a grant that has waited for it
# from its arrival on, while the home has granted the share to others.
def test_a_grant_that_waited_is_void():
    fleet = LimiterFleet()
    for now in range(4):
        fleet.renew(now)
    home = fleet.limiters['e0'].zone_home(TEAM)
    (late,) = (
        name
        for name, zone in ENTRIES.items()
        if zone == ENTRIES[home] and name != home
    )
    gate = fleet.limiters[late].gates[TEAM]
    static = RATE * STATIC_FRACTION / len(ENTRIES)
    gate.arrivals = 400
    fleet.limiters[late].request_grant(TEAM, gate, 4)
    (ask,) = (frame for _, _, frame in fleet.sent)
    grant = fleet.limiters[home].answer_share_request(
        late, ENTRIES[late], ask, 4
    )
    fleet.limiters[late].apply_grant(grant, 6)
    assert gate.allowed_rate(6) > static
    assert gate.allowed_rate(4 + GRANT_TTL_S) == static
    fleet.limiters[late].apply_grant(grant, 30)
    assert gate.allowed_rate(30) == static


# Fails if the home of a zone that cannot reach the team's home goes on to grant the
# quota that it had, while the team's home grants it to other zones.
def test_a_zone_without_contact_keeps_to_static_shares():
    fleet = LimiterFleet()
    fleet.renew(0)
    team_home = fleet.limiters['e0'].team_home(TEAM)

    def is_lost(sender, receiver):
        return ENTRIES[sender] != ENTRIES[receiver]

    for now in range(1, 20):
        fleet.renew(now, is_lost)
        assert fleet.allowed_rate(now) <= RATE * 1.001
    cut_off = [
        fleet.limiters[name]
        for name, zone in ENTRIES.items()
        if zone != ENTRIES[team_home]
    ]
    static = RATE * STATIC_FRACTION / len(ENTRIES)
    for limiter in cut_off:
        assert limiter.gates[TEAM].allowed_rate(19) == static
