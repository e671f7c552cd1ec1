"""Manifests of what one player is shown: HLS and MPEG-DASH, written without I/O."""
