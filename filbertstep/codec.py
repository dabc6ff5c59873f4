"""JSON encoding, and decoding that checks a shape."""

from filbertstep._codec import convert as convert
from filbertstep._codec import decode as decode
from filbertstep._codec import decode_with_comments as decode_with_comments
from filbertstep._codec import encode as encode
