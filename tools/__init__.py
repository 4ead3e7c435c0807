"""Development tools: test runner, demo, binary builder."""
