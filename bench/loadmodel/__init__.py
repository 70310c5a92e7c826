"""A load model: the real decisions, driven by simulated callers and servers."""
