"""Define how the datagrams of each tag wait for the link."""

from comfreyarch_core.linkqueue import SendPolicy, Urgency

# Time after which a waiting datagram is outdated: one that is sent again soon
# anyway, or any other.
SHORT_WAIT_S = 0.4
LONG_WAIT_S = 1.0

DEFAULT_POLICY = SendPolicy(Urgency.state, LONG_WAIT_S, is_superseded=False)
# Several of a tag may be for one address, each of its own content.
CONTROL_POLICY = SendPolicy(Urgency.control, SHORT_WAIT_S, is_superseded=False)
# The newest state of the sender is all that the receiver needs.
STATE_POLICY = SendPolicy(Urgency.state, SHORT_WAIT_S, is_superseded=True)
SEND_POLICIES = {
    'lead': SendPolicy(Urgency.control, SHORT_WAIT_S, is_superseded=True),
    'order': CONTROL_POLICY,
    'leaving': CONTROL_POLICY,
    'permit_asks': CONTROL_POLICY,
    'permits': CONTROL_POLICY,
    'state': STATE_POLICY,
    'health': STATE_POLICY,
    'load': STATE_POLICY,
    'limits': STATE_POLICY,
    'relay': SendPolicy(Urgency.bulk, LONG_WAIT_S, is_superseded=True),
    'table-part': SendPolicy(Urgency.bulk, LONG_WAIT_S, is_superseded=False),
    'counts8': SendPolicy(Urgency.background, LONG_WAIT_S, is_superseded=True),
    'counts4': SendPolicy(Urgency.background, SHORT_WAIT_S, is_superseded=True),
}


def select_policy(tag: str) -> SendPolicy:
    """Return the policy of a tag.

    :returns: a default for tags without a policy of their own.
    """
    return SEND_POLICIES.get(tag, DEFAULT_POLICY)
