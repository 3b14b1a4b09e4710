"""Small fakes at the interfaces of the project, for the steps."""
