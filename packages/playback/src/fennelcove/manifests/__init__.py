"""Writers of HLS playlists and MPEG-DASH manifests for one player; no I/O."""
