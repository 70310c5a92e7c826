"""Stand-ins for the platform, its servers, clients and operators."""
