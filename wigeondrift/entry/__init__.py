"""The entry process: accepts callers' requests and forwards them to upstreams."""
