"""Entry point of the roles on the platform, without modules that no role uses."""

from greengagehaven import import_blocking


def _main() -> None:
    # No role uses TLS; leaving it out saves 1.3 MB per process.
    import_blocking.block_import("ssl")
    from greengagehaven.platform import roles

    # asyncio is imported by now. The Prometheus library imports ssl on first use.
    import_blocking.allow_import("ssl")
    roles.main()


if __name__ == "__main__":
    _main()
