"""Tokens of the emulated model, computed from prompt, index and layers run.

A skipped or repeated layer, or a wrong model version, changes the token.
"""

import re
import struct
from collections.abc import Iterable

import xxhash

_STOP_PATTERN = re.compile(r"\[stop (\d+)\]")
_pack_input = struct.Struct("<QI").pack


def digest_prompt(service: str, prompt: str) -> int:
    """Return the digest of a prompt to a service."""
    return xxhash.xxh3_64_intdigest(f"{service}\0{prompt}".encode())


def make_version_seed(version: str) -> int:
    """Return the hash seed that represents the weights of a model version."""
    return xxhash.xxh3_64_intdigest(version.encode())


def make_first_activation(prompt_digest: int, index: int) -> int:
    """Return the activation of token ``index`` before the first layer."""
    return xxhash.xxh3_64_intdigest(_pack_input(prompt_digest, index))


def run_layers(activation: int, version_seed: int, layers: Iterable[int]) -> int:
    """Return the activation after ``layers`` were applied in order."""
    for layer in layers:
        activation = xxhash.xxh3_64_intdigest(
            _pack_input(activation, layer), seed=version_seed
        )
    return activation


def format_token(activation: int) -> str:
    """Return the text of the token for the activation after the last layer."""
    return f"{activation & 0xFFFFFF:06x} "


def get_answer_length(prompt: str, max_tokens: int) -> tuple[int, str]:
    """Return the number of tokens of the whole answer and its finish reason.

    A prompt that contains ``[stop N]`` is answered with at most ``N`` tokens.
    """
    match = _STOP_PATTERN.search(prompt)
    if match and int(match.group(1)) < max_tokens:
        return int(match.group(1)), "stop"
    return max_tokens, "length"


def expected_tokens(
    prompt: str, service: str, version: str, layers: int, count: int
) -> list[str]:
    """Return the first ``count`` tokens of a pipeline without faults.

    Parameters
    ----------
    prompt, service, version : str
        As in the request.
    layers : int
        Number of layers of the model.
    count : int
        Number of tokens.
    """
    digest = digest_prompt(service, prompt)
    seed = make_version_seed(version)
    return [
        format_token(
            run_layers(make_first_activation(digest, index), seed, range(layers))
        )
        for index in range(count)
    ]
