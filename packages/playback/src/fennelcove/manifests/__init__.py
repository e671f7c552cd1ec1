"""Generates the HLS playlists and MPEG-DASH manifests of one player; no I/O."""
