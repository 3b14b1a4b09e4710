"""Roll-outs of software versions: who may get requests, verdicts and phases."""
