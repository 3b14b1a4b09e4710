"""What became of a request, and of a day's requests, read from hosts' logs."""
