"""One model of what plays when: media cut into segments, changes to it, and what one player was shown. No
I/O."""
