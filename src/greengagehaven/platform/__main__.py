"""Starts one role on the platform, without what no role uses."""

from greengagehaven import footprint


def _main() -> None:
    # Nothing here speaks TLS; the gain is 1.3 MB in each process.
    footprint.leave_out("ssl")
    from greengagehaven.platform import roles

    roles.main()


if __name__ == "__main__":
    _main()
