"""The ledger of non-repeatable work: a claim before the first byte, the outcome after the last."""
