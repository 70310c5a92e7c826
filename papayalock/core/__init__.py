"""Logic without I/O: state machines and policies driven by their callers."""
