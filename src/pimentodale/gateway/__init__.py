"""Program `pimentodale-gateway`: forwards clients' requests on each front host of a platform."""
