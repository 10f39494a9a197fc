"""The cyclamentrack daemon: HTTP, peers and platform plug-ins."""
