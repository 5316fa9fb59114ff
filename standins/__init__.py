"""Stand in for the outside systems, as small processes of their own."""
