"""State machines: typed message and time in, typed actions out."""
