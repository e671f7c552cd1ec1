;; A front is paused while it uses slots at every server and the hog sends its load; it continues after five seconds.
(day
  (name "tenant-stopped")
  (like "tenant-hog")
  (service-floor 0.25)
  (tenants (hog "hog") (from-s 5) (served 0.6) (wait-ms 700) (fills 14))
  (troubles
    (item (at-s 8) (what "front-stop") (fronts 3) (for-s 5))))
