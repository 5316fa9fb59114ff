"""Measure comfreyarch: one JSON object a line."""
