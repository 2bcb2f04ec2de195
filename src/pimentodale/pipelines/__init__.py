"""Generation over routes of engines: attempts, receipts, and what the caller gets of them."""
