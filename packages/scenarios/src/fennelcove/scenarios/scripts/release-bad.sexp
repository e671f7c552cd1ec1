;; The wanted version serves badly: it accepts three sessions and rejects the others. Its canary halts the plan, and the
;; operator rolls back.
(day
  (name "release-bad")
  (like "release")
  (seconds 40)
  (versions (item (number 2) (held 3)))
  (release (wanted 2) (ends "none") (most 1))
  (crowds
    (item (room-type "recorded") (titles "knee-1" "back-2" "live-3" "hip-4") (per-s 10.0) (from-s 0) (to-s 37) (watch-s 2)
          (timeout-s 1.5) (retries 6) (tempers "obeys" "half" "hasty"))
    (item (room-type "live") (titles "live-3" "back-2") (per-s 5.0) (from-s 0) (to-s 37) (watch-s 2)
          (timeout-s 2) (retries 6) (tempers "obeys" "half" "hasty"))
    (item (room-type "paid") (titles "knee-1" "hip-4") (per-s 2.0) (from-s 0) (to-s 37) (watch-s 2)
          (timeout-s 1.5) (retries 6) (tempers "obeys" "hasty"))
    (item (room-type "keyed") (titles "back-2") (per-s 1.0) (from-s 0) (to-s 37) (watch-s 2)
          (timeout-s 1.5) (retries 6) (tempers "obeys" "hasty")))
  (troubles
    (item (at-s 3) (what "order") (for-s 6)
          (order "release" "start" "--wanted" "2" "--before" "1" "--canary" "1" "--wave" "2" "--soak-s" "20" "--out-s" "15" "--refused" "0.04"))
    (item (at-s 5) (until "halted") (what "order") (for-s 3) (order "release" "state"))
    (item (at-s 22) (until "halted") (what "order") (for-s 6) (order "release" "back"))))
