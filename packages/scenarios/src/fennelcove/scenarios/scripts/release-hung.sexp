;; The second front hangs during its restart: the old process has ended and the new one never serves. The plan halts by
;; itself; the operator writes the front off and rolls back.
(day
  (name "release-hung")
  (like "release")
  (seconds 42)
  (versions (item (number 2) (hangs 3)))
  (release (wanted 2) (ends "none") (lost 3) (most 2))
  (troubles
    (item (at-s 3) (what "order") (for-s 6)
          (order "release" "start" "--wanted" "2" "--before" "1" "--canary" "1" "--wave" "2" "--soak-s" "1" "--out-s" "7"))
    (item (at-s 5) (until "halted") (what "order") (for-s 4)
          (order "write-off" "front" "3" "front-0" "front-1" "front-2" "front-4"))
    (item (at-s 6) (until "off") (what "order") (for-s 6) (order "release" "back"))))
