"""JSON encoding, and decoding with validation against a schema."""

from filbertstep._codec import convert as convert
from filbertstep._codec import decode as decode
from filbertstep._codec import decode_open as decode_open
from filbertstep._codec import decode_with_comments as decode_with_comments
from filbertstep._codec import encode as encode
