"""Calls to plain services: repeatable ones with retries, others once through the ledger."""
