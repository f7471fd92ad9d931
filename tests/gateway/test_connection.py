"""What a gateway keeps for its connections to targets."""

import dataclasses

from samphirestand import catalog
from samphirestand.gateway import connection as connection_module
from samphirestand.platform import wire
from samphirestand import types
from samphirestand import work as work_module

WORK = work_module.Work(
    request_id='r',
    text='EXECUTE s',
    stage=work_module.Stage.SINGLE,
    service='svc',
    account='a',
    consistency=list(catalog.Consistency)[0],
    max_age_ms=0,
    writes=False,
    budget_ms=900,
    objective_ms=200,
    priority=1,
    mode=types.Mode.READ,
)


def test_long_prepared_texts_are_discarded():
    """Fails if a caller's prepared texts of 1 MiB stay on connections."""
    connection = connection_module.TargetConnection(
        wire.Connection(), None, 'a', 0
    )
    for number in range(60):
        shape = f'{number}' + 'x' * 400_000
        work = dataclasses.replace(WORK, shape=shape)
        connection.preparation(work)
        kept = sum(
            len(text) for _, text in connection._prepared_names_by_shape
        )
        assert kept <= 2 * 1_048_576
        assert connection.text(work).startswith('EXECUTE p')
