"""Experiments; each module has ``run(seed)`` and returns its figures."""
