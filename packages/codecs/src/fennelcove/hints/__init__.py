"""Hints between players, front and boxes: CMCD (CTA-5004) and CMSD (CTA-5006). No I/O, and a hint never
fails.
"""
