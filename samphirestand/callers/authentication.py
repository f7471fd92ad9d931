"""The check of callers' and operators' keys."""

import dataclasses
import hashlib
import hmac
import secrets

from samphirestand import types

SCHEME = 'bearer'
PUBLIC_ID_BYTES = 9
SECRET_BYTES = 32

# Longer keys are refused before they are hashed; a key made by `new_key`
# has 56 characters.
LONGEST_KEY = 256

CALLER = 'caller'
OPERATOR = 'operator'


@dataclasses.dataclass(frozen=True, slots=True)
class Caller:
    """Who sent a request; without a ``key_id`` it came by an open route."""

    account: str
    key_id: str
    role: str = CALLER


def authenticate(
    header: str | None,
    configuration: types.Configuration,
    service: types.Service | None = None,
    role: str = CALLER,
) -> Caller | types.NotRun:
    """Find out who sent a request from its ``Authorization`` header.

    A request without a key runs as the account that an open ``service``
    names. A key that came is always checked, also on an open route, so that
    a withdrawn key never works.
    """
    if header is None:
        if service is not None and service.open_account:
            return Caller(service.open_account, '')
        return types.NotRun('key_missing', 'no Authorization header')
    scheme, _, text = header.partition(' ')
    if scheme.lower() != SCHEME or not text:
        return types.NotRun('key_missing', 'Authorization is not "Bearer"')
    return _check(text, configuration, role)


def recheck(
    caller: Caller, configuration: types.Configuration
) -> types.NotRun | None:
    """Check again that the key of an earlier ``authenticate`` holds."""
    if not caller.key_id:
        return None
    key = configuration.keys_by_id.get(caller.key_id)
    if key is None:
        return types.NotRun('key_unknown', 'unknown key')
    if key.withdrawn:
        return types.NotRun('key_withdrawn', 'the key was withdrawn')
    return None


def new_key() -> tuple[str, str, str]:
    """Return public id, secret and the secret's SHA-256 of a new key."""
    key_id = secrets.token_urlsafe(PUBLIC_ID_BYTES)
    secret = secrets.token_urlsafe(SECRET_BYTES)
    return key_id, secret, secret_sha256(secret)


def secret_sha256(secret: str) -> str:
    """Return the hash of a secret as the configuration keeps it."""
    return hashlib.sha256(secret.encode()).hexdigest()


def _check(
    text: str, configuration: types.Configuration, role: str
) -> Caller | types.NotRun:
    key_id, _, secret = text.partition('.')
    key = configuration.keys_by_id.get(key_id)
    if key is None or len(text) > LONGEST_KEY or not secret.isascii():
        return types.NotRun('key_unknown', 'unknown key')
    if not hmac.compare_digest(secret_sha256(secret), key.secret_sha256):
        return types.NotRun('key_unknown', 'unknown key')
    # Only the owner of the secret learns of the withdrawal.
    if key.withdrawn:
        return types.NotRun('key_withdrawn', 'the key was withdrawn')
    if key.role != role:
        return types.NotRun(
            'key_role_mismatch', f'the key is for the role {key.role}'
        )
    return Caller(key.account, key_id, key.role)
