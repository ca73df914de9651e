"""Decision objects that own state and turn messages into actions."""
