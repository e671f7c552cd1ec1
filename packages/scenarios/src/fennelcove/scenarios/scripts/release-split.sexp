;; In the middle of a wave, two of five fronts are partitioned from the others, and messages arrive out of order.
(day
  (name "release-split")
  (like "release")
  (seconds 48)
  (troubles
    (item (at-s 3) (what "order") (for-s 6)
          (order "release" "start" "--wanted" "2" "--before" "1" "--canary" "1" "--wave" "2" "--soak-s" "1" "--out-s" "25"))
    (item (at-s 4) (until "out-2") (what "between") (for-s 7) (between (sender "front-0|front-1") (taker "front-2|front-3|front-4") (how "silent")))
    (item (at-s 3) (what "between") (for-s 40) (value 400) (between (sender "fronts") (taker "fronts") (how "reorder") (share 0.3)))
    (item (at-s 3) (what "between") (for-s 40) (value 300) (between (sender "fronts") (taker "fronts") (how "double") (share 0.2)))))
