"""Simulated external systems for tests and benchmarks.

The platform, the weight origin, model engines, plain services and network faults.
"""
