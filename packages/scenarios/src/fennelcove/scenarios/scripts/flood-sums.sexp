;; During the overload two servers are slow and the list service resets every connection. Further attempts and list
;; requests of all fronts stay within the budgets of the fleet.
(day
  (name "flood-sums")
  (like "flood")
  (front
    (fleet (all-links-kb 48000) (uplink-kb 16000))
    (overload (enabled true) (further-joins-s 2) (list-calls-s 1))
    (rules (ramp-ms 4000)))
  (troubles
    (item (at-s 9) (what "slow") (box 1) (value 900) (for-s 8))
    (item (at-s 9) (what "slow") (box 4) (value 900) (for-s 8))
    (item (at-s 8) (what "between") (for-s 10) (between (sender "fronts") (taker "lists") (how "reset")))))
