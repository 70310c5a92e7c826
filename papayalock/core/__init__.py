"""Decisions without I/O: each module is a state machine driven by its caller."""
