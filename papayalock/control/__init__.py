"""The control VM: replicated log, distribution and audit."""
