"""Meaning of the codes of refused requests and unknown outcomes."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class CodeEntry:
    """The meaning of a code, and advice for the operator."""

    meaning: str
    advice: str


_FIX_REQUEST = 'The caller has to correct its request.'
_WAIT_FOR_RETRY = (
    'Nothing, unless it lasts: the product tries again by itself.'
)

CODES = {
    'bad_request': CodeEntry('The request is not valid.', _FIX_REQUEST),
    'bad_statement': CodeEntry(
        'The target refused the statement.', _FIX_REQUEST
    ),
    'bad_session': CodeEntry(
        'The session token is not one of this fleet or is too old.',
        'The caller starts a session without a token. If many callers see'
        ' it, compare the token secrets of the hosts.',
    ),
    'body_too_large': CodeEntry(
        'The request is longer than the setting max_body_bytes.', _FIX_REQUEST
    ),
    'key_missing': CodeEntry(
        'No key came and the route is not open.', _FIX_REQUEST
    ),
    'key_unknown': CodeEntry(
        'The key is not in the configuration, or its secret is wrong.',
        'Compare the public id with SHOW KEYS; make a key with CREATE KEY.',
    ),
    'key_withdrawn': CodeEntry(
        'The key was withdrawn.', 'Make a key with CREATE KEY if intended.'
    ),
    'key_role_mismatch': CodeEntry(
        'A caller key was used for a command or an operator key for a'
        ' request.',
        'Use a key of the other role.',
    ),
    'session_account_mismatch': CodeEntry(
        'The session token belongs to another account.', _FIX_REQUEST
    ),
    'transaction_account_mismatch': CodeEntry(
        'The transaction belongs to another account.', _FIX_REQUEST
    ),
    'service_unknown': CodeEntry(
        'There is no service of that name.',
        'Compare the name with SHOW SERVICES.',
    ),
    'transaction_unknown': CodeEntry(
        'The transaction has ended or never began.', _FIX_REQUEST
    ),
    'session_position_discarded': CodeEntry(
        'A failover discarded a write that the session has seen.',
        'The caller decides whether to go on with the fresh token. Services'
        ' with CONFIRMATION REPLICATED keep acknowledged writes.',
    ),
    'transaction_lost': CodeEntry(
        'The gateway host or the connection of the transaction is gone.',
        'The caller begins the transaction again; after an unknown commit it'
        ' reads first.',
    ),
    'conflict': CodeEntry(
        'Another transaction changed the same data first.',
        'The caller begins the transaction again.',
    ),
    'too_many_transactions': CodeEntry(
        'The account has half of the connections of a target in transactions.',
        'The account ends transactions sooner, or the target gets more'
        ' connections.',
    ),
    'rate_exceeded': CodeEntry(
        'The account is over its rate and burst.',
        'Wait for retry_after_ms; raise RATE or BURST with ALTER ACCOUNT if'
        ' the load is wanted.',
    ),
    'not_gateway': CodeEntry(
        'The host asked does not hold the lock of the target.', _WAIT_FOR_RETRY
    ),
    'not_primary': CodeEntry(
        'The target is not the primary; a failover may be under way.',
        _WAIT_FOR_RETRY,
    ),
    'primary_unconfirmed': CodeEntry(
        'No other server confirmed the primary within 1 s.',
        'EXPLAIN PRIMARY shows the service. If it lasts, two of the three'
        ' servers are unreachable: bring one back.',
    ),
    'target_unreachable': CodeEntry(
        'The gateway cannot connect to the target.',
        'Check the server and the network to it.',
    ),
    'target_leaving': CodeEntry(
        'The target or its gateway is leaving.', _WAIT_FOR_RETRY
    ),
    'replica_behind': CodeEntry(
        'A replica does not have the position that the session needs.',
        _WAIT_FOR_RETRY,
    ),
    'replica_too_old': CodeEntry(
        'A replica is older than the read allows.', _WAIT_FOR_RETRY
    ),
    'deadline_unattainable': CodeEntry(
        'The wait for a slot would pass the deadline.',
        'The service is at its capacity: lower the load or add slots.',
    ),
    'configuration_unconfirmed': CodeEntry(
        'The zone is cut off, so a key may have been withdrawn unheard.',
        'Restore the network of the zone. ALTER ACCOUNT ... WHEN ISOLATED'
        ' SERVE lets an account go on in such a zone.',
    ),
    'draining': CodeEntry(
        'The host is stopping.', 'The caller connects to another host.'
    ),
    'gateway_answer_lost': CodeEntry(
        'The gateway host got the request and no answer came.',
        'The caller reads, or repeats with the same request id.',
    ),
    'gateway_failed': CodeEntry(
        'The gateway failed while the request was running.',
        'The caller reads, or repeats with the same request id; the log'
        ' names the error.',
    ),
    'internal_error': CodeEntry(
        'A fault of the product.',
        'The caller reads, or repeats with the same request id; the log'
        ' names the error.',
    ),
}

_NO_ENTRY = CodeEntry('A code without an entry here.', 'See the reason.')


def find_entry(code: str) -> CodeEntry:
    """Return the entry of ``code``, or a general one if it has none."""
    return CODES.get(code, _NO_ENTRY)
