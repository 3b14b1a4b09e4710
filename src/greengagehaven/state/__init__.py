"""State of a host: documents, upstream directory, log, snapshots, audit trail."""
