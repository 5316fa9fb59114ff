"""Decision logic of comfreyarch, without input, output, clock or randomness.

Callers pass in messages, times and random sources, and carry out the results.
"""
