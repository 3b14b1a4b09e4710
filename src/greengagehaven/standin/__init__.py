"""Stand-in upstream for development, measurements and tests."""
