"""Sharing the descriptors of the process."""

from samphirestand import descriptor_budget


def test_descriptors_stay_free_for_what_the_host_opens_itself():
    """Fails if accepted connections use up the descriptors."""
    budget = descriptor_budget.DescriptorBudget(160)
    budget.record_open(40)
    accepted = 0
    while budget.may_accept():
        budget.add('callers')
        accepted += 1
    assert accepted == 160 - 40 - 20
    budget.remove('callers')
    assert budget.may_accept()


def test_host_without_a_limit_accepts():
    """Fails if a host refuses all callers where no limit is known."""
    budget = descriptor_budget.DescriptorBudget(0)
    budget.record_open(100_000)
    assert budget.may_accept()
