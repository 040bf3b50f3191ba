"""Stand-ins of the outside systems for development and tests."""
