"""Development launcher of ``make demo``."""
