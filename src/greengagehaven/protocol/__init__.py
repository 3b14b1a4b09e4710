"""Message types, their codecs and the error document; no application logic."""
