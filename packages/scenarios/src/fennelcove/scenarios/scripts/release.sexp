;; Five fronts are updated to another version one by one, each by a permit of the others, under load.
(day
  (name "release")
  (like "power-short")
  (seconds 40)
  (fronts 5)
  (service-floor 0.8)
  (front
    (overload (enabled true))
    (releases (version 1) (wanted "wanted") (fronts-out 1) (fronts-out-hall 1) (drain-ms 600)))
  (crowds
    (item (room-type "recorded") (titles "knee-1" "back-2" "live-3" "hip-4") (per-s 6.0) (from-s 0) (to-s 37) (watch-s 2)
          (timeout-s 1.5) (retries 6) (tempers "obeys" "half" "hasty"))
    (item (room-type "live") (titles "live-3" "back-2") (per-s 3.0) (from-s 0) (to-s 37) (watch-s 2)
          (timeout-s 2) (retries 6) (tempers "obeys" "half" "hasty"))
    (item (room-type "paid") (titles "knee-1" "hip-4") (per-s 1.5) (from-s 0) (to-s 37) (watch-s 2)
          (timeout-s 1.5) (retries 6) (tempers "obeys" "hasty"))
    (item (room-type "keyed") (titles "back-2") (per-s 1.0) (from-s 0) (to-s 37) (watch-s 2)
          (timeout-s 1.5) (retries 6) (tempers "obeys" "hasty")))
  (release (wanted 2) (ends "all"))
  (troubles
    (item (at-s 3) (what "order") (for-s 6)
          (order "release" "start" "--wanted" "2" "--before" "1" "--canary" "1" "--wave" "2" "--soak-s" "2" "--out-s" "12"))))
