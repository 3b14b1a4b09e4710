"""What a host holds: documents, directory, log, snapshots, audit trail."""
