"""Load generator, fault scenarios, invariant checker and cost measurements."""
