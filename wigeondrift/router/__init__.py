"""Router that runs on the users' platform: shell around the systems."""
