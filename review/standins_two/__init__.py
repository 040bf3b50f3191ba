"""Stand-ins of the second review: store, instances, clients and node processes."""
