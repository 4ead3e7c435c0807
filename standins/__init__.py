"""Small stand-ins for the outside systems, for the demo, tests and measurements."""
