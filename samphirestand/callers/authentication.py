"""Authentication of callers and operators by key."""

import dataclasses
import hashlib
import hmac
import secrets

from samphirestand import types

SCHEME = 'bearer'
PUBLIC_ID_BYTES = 9
SECRET_BYTES = 32

# Longer keys are refused before they are hashed. A key made by `new_key` has
# 56 characters.
MAX_KEY_CHARS = 256

CALLER_ROLE = 'caller'
OPERATOR_ROLE = 'operator'


@dataclasses.dataclass(frozen=True, slots=True)
class Caller:
    """The account and the key that a request runs with.

    ``key_id`` is empty if the request had no key and runs as the open
    account of its service.
    """

    account: str
    key_id: str
    role: str = CALLER_ROLE


def authenticate(
    header: str | None,
    configuration: types.Configuration,
    service: types.Service | None = None,
    role: str = CALLER_ROLE,
) -> Caller | types.NotRun:
    """Identify the caller by the ``Authorization`` header of a request.

    A request without the header runs as the ``open_account`` of ``service``,
    if there is one. A key that is sent is always verified, also for a
    service with an open account, so that a withdrawn key never works.
    Returns the refusal if the key is missing or not valid for ``role``.
    """
    if header is None:
        if service is not None and service.open_account:
            return Caller(service.open_account, '')
        return types.NotRun('key_missing', 'no Authorization header')
    scheme, _, key_text = header.partition(' ')
    if scheme.lower() != SCHEME or not key_text:
        return types.NotRun('key_missing', 'Authorization is not "Bearer"')
    return _verify_key(key_text, configuration, role)


def check_still_valid(
    caller: Caller, configuration: types.Configuration
) -> types.NotRun | None:
    """Return a refusal if the caller's key was removed or withdrawn.

    ``caller`` is the result of an earlier ``authenticate``.
    """
    if not caller.key_id:
        return None
    key = configuration.keys_by_id.get(caller.key_id)
    if key is None:
        return types.NotRun('key_unknown', 'unknown key')
    if key.withdrawn:
        return types.NotRun('key_withdrawn', 'the key was withdrawn')
    return None


def new_key() -> tuple[str, str, str]:
    """Generate a key; return its public id, secret and the secret's hash.

    The hash is SHA-256 in hexadecimal digits.
    """
    key_id = secrets.token_urlsafe(PUBLIC_ID_BYTES)
    secret = secrets.token_urlsafe(SECRET_BYTES)
    return key_id, secret, hash_secret(secret)


def hash_secret(secret: str) -> str:
    """Return the SHA-256 of a secret as the configuration stores it."""
    return hashlib.sha256(secret.encode()).hexdigest()


def _verify_key(
    key_text: str, configuration: types.Configuration, role: str
) -> Caller | types.NotRun:
    key_id, _, secret = key_text.partition('.')
    key = configuration.keys_by_id.get(key_id)
    if key is None or len(key_text) > MAX_KEY_CHARS or not secret.isascii():
        return types.NotRun('key_unknown', 'unknown key')
    if not hmac.compare_digest(hash_secret(secret), key.secret_sha256):
        return types.NotRun('key_unknown', 'unknown key')
    # Checked after the secret: only its owner may learn that the key was
    # withdrawn.
    if key.withdrawn:
        return types.NotRun('key_withdrawn', 'the key was withdrawn')
    if key.role != role:
        return types.NotRun(
            'key_role_mismatch', f'the key is for the role {key.role}'
        )
    return Caller(key.account, key_id, key.role)
