"""Program `pimentodale-ctl`, a small module for each group of commands."""
