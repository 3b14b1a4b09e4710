"""Typed messages, their codecs and the error document; no behaviour."""
