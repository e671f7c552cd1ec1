;; A zone is lost in the middle of a wave: two of five fronts and half of the servers. The effect on clients halts the plan.
;; When all are up again the operator resumes it, and rejections by servers that warm up may halt it again.
(day
  (name "release-hall")
  (like "release")
  (seconds 56)
  (service-floor 0.6)
  (release (wanted 2) (ends "some"))
  (crowds
    (item (room-type "recorded") (titles "knee-1" "back-2" "live-3" "hip-4") (per-s 6.0) (from-s 0) (to-s 53) (watch-s 2)
          (timeout-s 1.5) (retries 6) (tempers "obeys" "half" "hasty"))
    (item (room-type "live") (titles "live-3" "back-2") (per-s 3.0) (from-s 0) (to-s 53) (watch-s 2)
          (timeout-s 2) (retries 6) (tempers "obeys" "half" "hasty"))
    (item (room-type "paid") (titles "knee-1" "hip-4") (per-s 1.5) (from-s 0) (to-s 53) (watch-s 2)
          (timeout-s 1.5) (retries 6) (tempers "obeys" "hasty"))
    (item (room-type "keyed") (titles "back-2") (per-s 1.0) (from-s 0) (to-s 53) (watch-s 2)
          (timeout-s 1.5) (retries 6) (tempers "obeys" "hasty")))
  (troubles
    (item (at-s 3) (what "order") (for-s 6)
          (order "release" "start" "--wanted" "2" "--before" "1" "--canary" "1" "--wave" "2" "--soak-s" "1" "--out-s" "30"))
    (item (at-s 4) (until "out-2") (what "front-kill") (fronts 1 3) (for-s 6))
    (item (at-s 4) (until "out-2") (what "die") (box 1) (for-s 5))
    (item (at-s 4) (until "out-2") (what "die") (box 3) (for-s 6))
    (item (at-s 4) (until "out-2") (what "die") (box 5) (for-s 7))
    (item (at-s 26) (until "halted") (what "order") (for-s 6) (order "release" "on"))))
