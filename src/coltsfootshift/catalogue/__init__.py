"""The catalogue: typed entries, their validation, and tables of revisions."""
