;; The fronts of one zone receive no messages of the others for ten seconds: half of the waiting requests is unknown to
;; each side, and slot loans expire.
(day
  (name "slots-split")
  (like "slots-learn")
  (seconds 36)
  (halls "hall-a" "hall-b")
  (crowds
    (item (room-type "recorded") (titles "knee-1" "back-2" "live-3" "hip-4") (per-s 18) (from-s 0) (to-s 32) (watch-s 3)
          (timeout-s 4) (retries 2))
    (item (room-type "live") (titles "live-3" "back-2") (per-s 6) (from-s 0) (to-s 32) (watch-s 3)
          (timeout-s 4) (retries 2)))
  (troubles
    (item (at-s 10) (what "between") (for-s 10)
          (between (sender "front-0|front-2") (taker "front-1|front-3") (how "cut")))))
