"""Stand-in processes, load generation and experiments."""
