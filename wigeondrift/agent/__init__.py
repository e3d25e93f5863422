"""Agent process: watches the platform and exchanges state with its peers by gossip."""
