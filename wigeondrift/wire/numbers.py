"""Numbers in text from other programs."""

import re

# More digits than any count, size or time in milliseconds has, and few enough for
# exact conversion to a float.
MAX_DIGITS = 15
DECIMAL_PATTERN = re.compile(rf"[0-9]{{1,{MAX_DIGITS}}}(\.[0-9]{{0,{MAX_DIGITS}}})?")


def parse_whole_number(text: str) -> int | None:
    """Return the value of a decimal number, or None if the text is not one.

    Parameters
    ----------
    text : str
        ASCII digits, with optional white space around them. Texts of more than
        ``MAX_DIGITS`` digits are no numbers.
    """
    digits = text.strip()
    if not digits.isascii() or not digits.isdigit() or len(digits) > MAX_DIGITS:
        return None
    return int(digits)


def parse_decimal(text: str) -> float | None:
    """Return the value of a decimal number that is not negative, or None.

    Parameters
    ----------
    text : str
        ASCII digits with an optional fraction, and optional white space around them.
        Texts of more than ``MAX_DIGITS`` digits on a side are no numbers.
    """
    match = DECIMAL_PATTERN.fullmatch(text.strip())
    return None if match is None else float(match.group())
