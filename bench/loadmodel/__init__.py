"""Discrete-event load model: product code between simulated VMs."""
