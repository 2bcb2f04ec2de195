"""Generation over routes of engines: attempts, verification of tokens, and recovery."""
