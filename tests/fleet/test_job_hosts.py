"""Choice of the job hosts in small and in large fleets."""

from samphirestand.fleet import frames
from samphirestand.fleet import job_hosts
from samphirestand import node_settings

ZONES = ('north', 'south', 'east', 'west')
SMALL = node_settings.Capacity(500, 5_000)
LARGE = node_settings.Capacity(2_150, 100_000)


def hosts_in_all_zones(small_count, large_count=0):
    """Return hosts with the same counts of small and large ones per zone."""
    return [
        frames.Hello(
            f'{zone}-{capacity}-{number}', zone, '127.0.0.1', 1, 1, capacity
        )
        for zone in ZONES
        for capacity, count in ((SMALL, small_count), (LARGE, large_count))
        for number in range(count)
    ]


def test_all_hosts_of_a_small_fleet_are_job_hosts():
    """Fails if a host of a nine-host deployment isn't a job host."""
    hosts = [each for each in hosts_in_all_zones(3) if each.zone != 'west']
    host_ids = {each.host_id for each in hosts}
    assert job_hosts.choose_job_hosts(hosts) == host_ids


def test_number_of_job_hosts_does_not_grow_with_the_fleet():
    """Fails if the number of links of a host grows with the fleet."""
    for count in (20, 75, 750):
        chosen_ids = job_hosts.choose_job_hosts(hosts_in_all_zones(count))
        assert len(chosen_ids) == len(ZONES) * job_hosts.JOB_HOSTS_PER_ZONE


def test_large_hosts_are_chosen_first():
    """Fails if a gateway may be placed on a host with a slow link."""
    hosts = hosts_in_all_zones(18, 2)
    chosen_ids = job_hosts.choose_job_hosts(hosts)
    large_ids = job_hosts.large_host_ids(hosts)
    assert len(large_ids) == 2 * len(ZONES)
    assert large_ids < chosen_ids


def test_dead_job_host_is_replaced_within_its_zone():
    """Fails if a zone has no job hosts after the loss of all that it had."""
    hosts = hosts_in_all_zones(18)
    chosen_before = job_hosts.choose_job_hosts(hosts)
    dead_ids = {each for each in chosen_before if each.startswith('north')}
    chosen_after = job_hosts.choose_job_hosts(hosts, dead_ids)
    added_ids = chosen_after - chosen_before
    assert len(added_ids) == len(dead_ids)
    assert all(each.startswith('north') for each in added_ids)


def test_chosen_hosts_of_a_failed_zone_are_limited():
    hosts = hosts_in_all_zones(18)
    dead_ids = {each.host_id for each in hosts if each.zone == 'north'}
    chosen_ids = job_hosts.choose_job_hosts(hosts, dead_ids)
    assert len(chosen_ids & dead_ids) == job_hosts.MAX_CHOSEN_PER_ZONE


def test_choice_does_not_depend_on_the_order_of_registrations():
    """Fails if two hosts that see the same fleet choose differently."""
    hosts = hosts_in_all_zones(18, 2)
    assert job_hosts.choose_job_hosts(hosts) == job_hosts.choose_job_hosts(
        hosts[::-1]
    )
