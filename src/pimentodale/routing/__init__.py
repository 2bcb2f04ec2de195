"""Which backend servers a request goes to: the plan of routes, and the pick for each request."""
