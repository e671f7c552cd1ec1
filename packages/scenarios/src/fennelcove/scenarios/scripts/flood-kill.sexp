;; Two of four fronts are killed in the middle of the overload.
(day
  (name "flood-kill")
  (like "flood")
  (troubles
    (item (at-s 11) (what "front-kill") (fronts 0 1) (for-s 3))))
