"""The control VM: Raft groups, distribution to nodes, HTTP API and audit."""
