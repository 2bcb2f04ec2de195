"""Calls of plain services: repeatable ones with retries, the others once through the ledger."""
