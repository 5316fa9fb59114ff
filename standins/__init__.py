"""Stand-ins for external systems, and the launcher that runs them."""
