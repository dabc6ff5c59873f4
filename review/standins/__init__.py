"""Stand-ins for the platform, servers and clients, after the users' pages."""
