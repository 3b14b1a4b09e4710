"""The decision core: no input or output, no global clock or randomness."""
