"""The callers' HTTP: OpenAI's calls, plain services, health, metrics and the operators' reads."""
