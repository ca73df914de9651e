"""Interface to the endpoint of an agent, a model engine or a plain service."""
