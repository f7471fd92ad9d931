"""Which hosts do jobs in small and in large fleets."""

from samphirestand.fleet import frames
from samphirestand.fleet import job_hosts
from samphirestand import node_settings

ZONES = ('north', 'south', 'east', 'west')
SMALL = node_settings.Capacity(500, 5_000)
LARGE = node_settings.Capacity(2_150, 100_000)


def fleet(small_count, large_count=0):
    """Return hosts, the same number of each size in each zone."""
    return [
        frames.Hello(f'{zone}-{size}-{number}', zone, '127.0.0.1', 1, 1, size)
        for zone in ZONES
        for size, count in ((SMALL, small_count), (LARGE, large_count))
        for number in range(count)
    ]


def test_all_hosts_of_a_small_fleet_do_jobs():
    """Fails if a host of a nine-host deployment is left without work."""
    hosts = [each for each in fleet(3) if each.zone != 'west']
    ids = {each.host_id for each in hosts}
    assert job_hosts.choose_job_hosts(hosts) == ids


def test_links_of_a_host_stay_few_in_a_large_fleet():
    """Fails if hosts dial a number of hosts that grows with the fleet."""
    for count in (20, 75, 750):
        chosen = job_hosts.choose_job_hosts(fleet(count))
        assert len(chosen) == len(ZONES) * job_hosts.JOB_HOSTS_PER_ZONE


def test_large_hosts_are_chosen_first():
    """Fails if a gateway lands on a host with a slow link."""
    hosts = fleet(18, 2)
    chosen = job_hosts.choose_job_hosts(hosts)
    large = job_hosts.large_host_ids(hosts)
    assert len(large) == 2 * len(ZONES)
    assert large < chosen


def test_next_host_of_the_zone_replaces_a_dead_one():
    """Fails if the loss of all job hosts of a zone leaves it without any."""
    hosts = fleet(18)
    before = job_hosts.choose_job_hosts(hosts)
    dead = {each for each in before if each.startswith('north')}
    after = job_hosts.choose_job_hosts(hosts, dead)
    added = after - before
    assert len(added) == len(dead)
    assert all(each.startswith('north') for each in added)


def test_loss_of_a_zone_does_not_make_all_of_it_dialled():
    hosts = fleet(18)
    dead = {each.host_id for each in hosts if each.zone == 'north'}
    chosen = job_hosts.choose_job_hosts(hosts, dead)
    assert len(chosen & dead) == job_hosts.MOST_PER_ZONE


def test_order_of_registrations_does_not_matter():
    """Fails if two hosts that see the same fleet choose differently."""
    hosts = fleet(18, 2)
    assert job_hosts.choose_job_hosts(hosts) == job_hosts.choose_job_hosts(
        hosts[::-1]
    )
