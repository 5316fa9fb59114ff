"""Decide for comfreyarch: no input, output, clock or random source here."""
