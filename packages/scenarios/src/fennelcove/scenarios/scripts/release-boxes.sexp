;; Two operators request to take out a server at the same moment, and later a third server: they are taken out one after
;; the other, each when the previous one is warm again.
(day
  (name "release-boxes")
  (like "release")
  (seconds 44)
  (fronts 3)
  (front (rules (ramp-ms 4000)) (releases (version 1) (wanted "wanted") (show-ms 2000)))
  (crowds
    (item (room-type "recorded") (titles "knee-1" "back-2" "live-3" "hip-4") (per-s 11.0) (from-s 0) (to-s 42) (watch-s 2)
          (timeout-s 1.5) (retries 6) (tempers "obeys" "half" "hasty"))
    (item (room-type "live") (titles "live-3" "back-2") (per-s 6.0) (from-s 0) (to-s 42) (watch-s 2)
          (timeout-s 2) (retries 6) (tempers "obeys" "half" "hasty")))
  (release (wanted 2) (ends "none") (boxes 2))
  (troubles
    (item (at-s 7) (what "order") (for-s 5) (order "box-out" "0" "--by" "front-0"))
    (item (at-s 7) (what "order") (for-s 5) (order "box-out" "2" "--by" "front-1"))
    (item (at-s 9) (what "order") (for-s 5) (order "box-out" "4" "--by" "front-2"))))
