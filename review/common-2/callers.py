"""Callers of the cases: writes that are recorded, and steady reads."""

import asyncio

import fleet as fleet_module


async def write_all(fleet, record, count, prefix='k', hosts=None):
    """Write ``count`` keys, one session each; return how many were acked."""
    hosts = hosts or fleet.hosts
    acked = 0
    for number in range(count):
        host = hosts[number % len(hosts)]
        client = await fleet_module.Client.connect(host)
        key, data = f'{prefix}{number}', f'd{number}'
        request_id, _, result, state = await client.query(
            f'WRITE {key} {data}'
        )
        record.note(
            f'{host.name}: {request_id} WRITE {key} {data}: {result} {state}'
        )
        if result.startswith('COMPLETE'):
            fleet.group.acknowledged.append((key, data))
            acked += 1
        client.close()
    return acked


async def read_steadily(fleet, record):
    """Read on all hosts until cancelled, as callers do all the time."""
    served = failed = 0
    try:
        while True:
            for host in fleet.hosts:
                try:
                    client = await fleet_module.Client.connect(host)
                    answer = await client.query('READ k0', timeout_s=2)
                    if answer[2].startswith('COMPLETE'):
                        served += 1
                    else:
                        failed += 1
                    client.close()
                except (OSError, TimeoutError):
                    failed += 1
                    await asyncio.sleep(0.02)
            await asyncio.sleep(0.05)
    finally:
        record.note(f'steady reads: {served} served, {failed} not')


def note_logs(fleet, record, *events):
    """Copy the lines of the hosts' logs that name one of ``events``."""
    for host in fleet.hosts:
        for line in host.log_path.read_text().splitlines():
            if any(each in line for each in events):
                record.note(f'log of {host.name}: {line[:600]}')
