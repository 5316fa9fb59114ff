"""Run the real programs under random faults and check their guarantees."""
