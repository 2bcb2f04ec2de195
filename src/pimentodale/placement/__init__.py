"""Assignment of model layers to replicas, and selection of request paths over them."""
