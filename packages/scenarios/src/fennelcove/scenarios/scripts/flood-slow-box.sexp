;; One server is slow for all fronts, one for a single front, and a front is paused for 4 s during the overload.
(day
  (name "flood-slow-box")
  (like "flood")
  (troubles
    (item (at-s 9) (what "slow") (box 1) (value 900) (for-s 8))
    (item (at-s 9) (what "between") (value 900) (for-s 8) (between (sender "front-2") (taker "box-4") (how "delay")))
    (item (at-s 10) (what "front-stop") (fronts 3) (for-s 4))))
