"""The cyclamentrack daemon: HTTP, peer connections, platform plug-ins."""
