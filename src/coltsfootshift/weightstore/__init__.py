"""Access to the weight store, which serves the weights of the origin."""
