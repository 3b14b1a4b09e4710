"""At most once: who may run a non-idempotent request, and what became of it."""
