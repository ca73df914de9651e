"""Filters that check each request at an entry, one module per filter."""
