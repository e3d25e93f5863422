"""Whole numbers in text from other programs."""

# More digits than any count, size or time in milliseconds has, and few enough for
# exact conversion to a float.
MAX_DIGITS = 15


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
