"""Other hosts: RPC, membership and gossip."""
