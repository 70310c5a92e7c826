"""A randomized fault-injection test with real processes on one machine."""
