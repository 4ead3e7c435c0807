"""Development tools: test runner, mutation tests, demo, binary builder, pages."""
