"""Program `pimentodale-gateway`: forwards clients' requests to replicas of the users' platform."""
