;; The fronts are partitioned into two halves in the middle of the overload, and their messages arrive out of order.
(day
  (name "flood-split")
  (like "flood")
  (troubles
    (item (at-s 10) (what "between") (for-s 8) (between (sender "front-0|front-1") (taker "front-2|front-3") (how "silent")))
    (item (at-s 8) (what "between") (for-s 14) (value 400) (between (sender "fronts") (taker "fronts") (how "reorder") (share 0.5)))))
