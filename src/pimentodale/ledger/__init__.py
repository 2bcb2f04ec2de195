"""The idempotency ledger: makes work under an Idempotency-Key run at most once.

A host writes a claim before it sends the first byte of non-repeatable work, and the outcome after
it has received the last.
"""
