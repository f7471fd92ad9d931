"""Tests of session consistency on a primary."""

import pytest

from samphirestand import types
from tests.targets import fakes


@pytest.mark.parametrize(
    'operation, mode',
    [
        ('execute', types.Mode.READ),
        ('execute', types.Mode.WRITE),
        ('begin', types.Mode.WRITE),
    ],
)
def test_a_session_continues_on_its_primary(operation, mode):
    """Guards against refusals because the last probe is older than a write."""

    async def case(fleet):
        written = await fleet.run('t0')
        followed = await fleet.run(
            't0',
            operation,
            statement='GET x' if mode is types.Mode.READ else 'SET y 1',
            mode=mode,
            request_id='r2',
            session=written.position,
        )
        assert isinstance(followed, types.Done), followed

    fakes.run_with_fleet(case)
