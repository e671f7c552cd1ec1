;; As tenant-hog, while the fronts are partitioned into two halves and their messages arrive late and twice.
(day
  (name "tenant-hog-split")
  (like "tenant-hog")
  (troubles
    (item (at-s 7) (what "between") (for-s 6) (between (sender "front-0|front-1") (taker "front-2|front-3") (how "silent")))
    (item (at-s 6) (what "between") (for-s 10) (value 400) (between (sender "fronts") (taker "fronts") (how "reorder") (share 0.5)))
    (item (at-s 6) (what "between") (for-s 10) (value 200) (between (sender "fronts") (taker "fronts") (how "double") (share 0.5)))))
