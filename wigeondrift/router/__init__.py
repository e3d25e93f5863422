"""Router for the users' platform: shell around the systems."""
