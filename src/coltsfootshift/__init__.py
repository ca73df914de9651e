"""Distributes model weights to many instances and routes callers' requests to endpoints."""

__version__ = "0.1.0"
