"""Program `pimentodale-entry`: runs an entry host, which accepts and routes callers' requests."""
