"""The platform's configuration service and instance list."""
