"""Who may start now, who waits, and who is refused at once."""
