"""What the codes of refused and unknown requests mean."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Code:
    """The meaning of a code and what to do about it."""

    meaning: str
    advice: str


_CALLER = 'The caller has to correct its request.'
_WAIT = 'Nothing, unless it lasts: the product tries again by itself.'

CODES = {
    'bad_request': Code('The request is not valid.', _CALLER),
    'bad_statement': Code('The target refused the statement.', _CALLER),
    'bad_session': Code(
        'The session token is not one of this fleet or is too old.',
        'The caller starts a session without a token. If many callers see'
        ' it, compare the token secrets of the hosts.',
    ),
    'body_too_large': Code(
        'The request is longer than the setting max_body_bytes.', _CALLER
    ),
    'key_missing': Code('No key came and the route is not open.', _CALLER),
    'key_unknown': Code(
        'The key is not in the configuration, or its secret is wrong.',
        'Compare the public id with SHOW KEYS; make a key with CREATE KEY.',
    ),
    'key_withdrawn': Code(
        'The key was withdrawn.', 'Make a key with CREATE KEY if intended.'
    ),
    'key_role_mismatch': Code(
        'A caller key was used for a command or an operator key for a'
        ' request.',
        'Use a key of the other role.',
    ),
    'session_account_mismatch': Code(
        'The session token belongs to another account.', _CALLER
    ),
    'transaction_account_mismatch': Code(
        'The transaction belongs to another account.', _CALLER
    ),
    'service_unknown': Code(
        'There is no service of that name.',
        'Compare the name with SHOW SERVICES.',
    ),
    'transaction_unknown': Code(
        'The transaction has ended or never began.', _CALLER
    ),
    'session_position_discarded': Code(
        'A failover discarded a write that the session has seen.',
        'The caller decides whether to go on with the fresh token. Services'
        ' with CONFIRMATION REPLICATED keep acknowledged writes.',
    ),
    'transaction_lost': Code(
        'The gateway host or the connection of the transaction is gone.',
        'The caller begins the transaction again; after an unknown commit it'
        ' reads first.',
    ),
    'conflict': Code(
        'Another transaction changed the same data first.',
        'The caller begins the transaction again.',
    ),
    'too_many_transactions': Code(
        'The account has half of the connections of a target in transactions.',
        'The account ends transactions sooner, or the target gets more'
        ' connections.',
    ),
    'rate_exceeded': Code(
        'The account is over its rate and burst.',
        'Wait for retry_after_ms; raise RATE or BURST with ALTER ACCOUNT if'
        ' the load is wanted.',
    ),
    'not_gateway': Code(
        'The host asked does not hold the lock of the target.', _WAIT
    ),
    'not_primary': Code(
        'The target is not the primary; a failover may be under way.', _WAIT
    ),
    'primary_unconfirmed': Code(
        'No other server confirmed the primary within 1 s.',
        'EXPLAIN PRIMARY shows the service. If it lasts, two of the three'
        ' servers are unreachable: bring one back.',
    ),
    'target_unreachable': Code(
        'The gateway cannot connect to the target.',
        'Check the server and the network to it.',
    ),
    'target_leaving': Code('The target or its gateway is leaving.', _WAIT),
    'replica_behind': Code(
        'A replica does not have the position that the session needs.', _WAIT
    ),
    'replica_too_old': Code('A replica is older than the read allows.', _WAIT),
    'deadline_unattainable': Code(
        'The wait for a slot would pass the deadline.',
        'The service is at its capacity: lower the load or add slots.',
    ),
    'configuration_unconfirmed': Code(
        'The zone is cut off, so a key may have been withdrawn unheard.',
        'Restore the network of the zone. ALTER ACCOUNT ... WHEN ISOLATED'
        ' SERVE lets an account go on in such a zone.',
    ),
    'draining': Code(
        'The host is stopping.', 'The caller connects to another host.'
    ),
    'gateway_answer_lost': Code(
        'The gateway host got the request and no answer came.',
        'The caller reads, or repeats with the same request id.',
    ),
    'gateway_failed': Code(
        'The gateway failed while the request was running.',
        'The caller reads, or repeats with the same request id; the log'
        ' names the error.',
    ),
    'internal_error': Code(
        'A fault of the product.',
        'The caller reads, or repeats with the same request id; the log'
        ' names the error.',
    ),
}

_OTHER = Code('A code without an entry here.', 'See the reason.')


def find(code: str) -> Code:
    """Return what ``code`` means."""
    return CODES.get(code, _OTHER)
