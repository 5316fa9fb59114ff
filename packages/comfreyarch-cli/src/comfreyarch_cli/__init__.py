"""Operators' command line of comfreyarch."""
