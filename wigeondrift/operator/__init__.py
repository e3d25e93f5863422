"""The operator's tool and the operations that it wraps."""
