"""Backend servers that leave get no new work, and a planned stop of this host cuts none."""
