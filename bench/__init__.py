"""Benchmarks of comfreyarch; each prints one JSON object per line."""
