"""Stand-ins for external systems, each run as a small process."""
